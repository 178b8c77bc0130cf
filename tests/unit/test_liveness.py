from fescuestile import clock
from fescuestile import liveness

OPTIONS = liveness.LivenessOptions()


def test_a_connection_is_silent_only_when_a_heartbeat_stays_unanswered():
    now = clock.ManualClock()
    connection = liveness.ConnectionLiveness(OPTIONS, now)
    now.advance(10)
    assert connection.heartbeat_delay == 0
    assert not connection.unresponsive
    connection.record_heartbeat()
    now.advance(OPTIONS.heartbeat_timeout / 2)
    connection.record_heartbeat()
    assert not connection.unresponsive
    now.advance(OPTIONS.heartbeat_timeout / 2)
    assert connection.unresponsive
    connection.record_received()
    assert not connection.unresponsive
    assert connection.heartbeat_delay == OPTIONS.heartbeat_interval


def test_an_endpoint_is_down_after_failed_connections_and_up_by_one():
    now = clock.ManualClock()
    endpoint = liveness.EndpointLiveness(OPTIONS, now)
    delays = []
    for _ in range(40):
        endpoint.record_failure()
        delays.append(endpoint.probe_delay)
    assert delays[:3] == [0.1, 0.2, 0.4]
    assert max(delays) == OPTIONS.max_probe_delay
    assert endpoint.down
    endpoint.record_connected()
    assert not endpoint.down
    assert endpoint.probe_delay == 0
