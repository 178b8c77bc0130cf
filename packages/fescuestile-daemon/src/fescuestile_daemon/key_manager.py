"""Creates and rotates the signing keys of session tokens."""

import asyncio
import collections.abc
import random
import secrets
import time

import structlog

from fescuestile import gossip_messages
from fescuestile import ports
from fescuestile import session_keys
from fescuestile import sessions
from fescuestile_daemon import membership_actor
from fescuestile_daemon import published

log = structlog.get_logger(__name__)

CHECK_INTERVAL_SECONDS = 30.0
SECRET_BYTES = 32
ID_BYTES = 4


def make_key() -> sessions.SigningKey:
    """Return a random key with a random id."""
    return sessions.SigningKey(
        secrets.token_hex(ID_BYTES), secrets.token_bytes(SECRET_BYTES)
    )


class KeyManager:
    """Rotates the keys while this daemon watches the platform."""

    def __init__(
        self,
        platform: ports.Platform,
        status: published.Published[membership_actor.GossipStatus],
        announce: collections.abc.Callable[
            [tuple[gossip_messages.Entry, ...]], None
        ],
        random_source: random.Random,
    ) -> None:
        """Initialize with the platform that stores the keys.

        :param announce: gossips the entry of the current keys
        """
        self._platform = platform
        self._status = status
        self._announce = announce
        self._random = random_source

    async def run(self) -> None:
        """Check for a due rotation at jittered intervals until cancelled."""
        while True:
            if self._status.get().watcher:
                await self.rotate_if_due(time.time())
            await asyncio.sleep(
                self._random.uniform(0.5, 1.5) * CHECK_INTERVAL_SECONDS
            )

    async def rotate_if_due(self, now: float) -> None:
        """Store the next keys if a rotation is due, and announce the keys.

        :param now: seconds since the epoch
        """
        read = await self._platform.read(session_keys.PATH)
        if read.is_error():
            return
        stored = read.ok
        current = None
        if stored is not None:
            decoded = session_keys.decode(stored.value, stored.path)
            if decoded.is_error():
                log.error(
                    "stored session keys are invalid", error=str(decoded.error)
                )
                return
            current = decoded.ok
        content = session_keys.rotate(current, make_key(), now)
        if content is not None:
            written = await self._platform.write(
                session_keys.PATH,
                session_keys.encode(content),
                stored.version if stored else 0,
                secrets.token_hex(16),
            )
            if written.is_ok():
                current = content
                log.info("session keys rotated", number=content.number)
        if current is not None:
            self._announce((session_keys.encode_entry(current),))
