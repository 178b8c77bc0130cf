"""Names of the metrics that a daemon sends."""

from fescuestile import failures

REQUEST_TIME = "request"
ANSWERED_BY_PRIMARY = "requests.answered.primary"
ANSWERED_BY_REPLICA = "requests.answered.replica"
FAILED = {code: f"requests.failed.{code}" for code in failures.FailureCode}
SESSIONS_OPEN = "sessions.open"
LINKS_OPEN = "links.open"
MEMBERS_SERVING = "members.serving"
DATABASES = "databases"
DATABASES_WATCHED = "databases.watched"
ENDPOINTS_OWNED = "endpoints.owned"
SLOTS_RUNNING = "slots.running"
SLOTS_WAITING = "slots.waiting"
ENDPOINT_CONNECTIONS = "endpoints.connections"

TIMINGS = (REQUEST_TIME,)
COUNTERS = (ANSWERED_BY_PRIMARY, ANSWERED_BY_REPLICA, *FAILED.values())
GAUGES = (
    SESSIONS_OPEN,
    LINKS_OPEN,
    MEMBERS_SERVING,
    DATABASES,
    DATABASES_WATCHED,
    ENDPOINTS_OWNED,
    SLOTS_RUNNING,
    SLOTS_WAITING,
    ENDPOINT_CONNECTIONS,
)
