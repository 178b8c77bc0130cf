"""Fakes of endpoint connections, for tests without processes."""

import asyncio

import expression

from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile import ports


class FakeConnection(ports.EndpointConnection):
    """Connection that answers immediately, unless ``silent`` is set."""

    def __init__(self, dialer):
        self._dialer = dialer
        self._closed = False
        self._ids = 0
        self.silent = False

    @property
    def closed(self):
        return self._closed

    async def _answer(self, command, timeout):
        if self.silent or self._closed:
            await asyncio.sleep(timeout)
            return expression.Error(
                errors.ConnectionLost(message="no response", step="execute")
            )
        return expression.Ok(
            endpoint_messages.Answered(
                command.id, endpoint_messages.Verdict.DONE
            )
        )

    execute = begin = commit = rollback = resolve = _answer

    async def heartbeat(self, timeout):
        if self.silent:
            await asyncio.sleep(timeout)
        return not self.silent

    async def inspect(self, timeout):
        raise NotImplementedError

    def subscribe(self, interval):
        raise NotImplementedError

    async def await_position(self, position, timeout):
        raise NotImplementedError

    async def fence(self, term, driver, revision, timeout):
        raise NotImplementedError

    async def promote(self, term, driver, timeout):
        raise NotImplementedError

    async def follow(self, term, primary, address, timeout):
        raise NotImplementedError

    async def record_revision(self, term, revision, timeout):
        raise NotImplementedError

    def next_id(self):
        self._ids += 1
        return self._ids

    async def close(self):
        if not self._closed:
            self._closed = True
            self._dialer.open.remove(self)


class FakeDialer(ports.EndpointDialer):
    """Dialer that counts its connections.

    :ivar cap: largest number of open connections
    :ivar open: connections that are open
    :ivar most: largest number that was open at a time
    :ivar dialed: number of attempts to connect
    :ivar refused: number of attempts that were refused
    :ivar failing: whether all new connections are refused
    """

    def __init__(self, cap=1000):
        self.cap = cap
        self.open = []
        self.most = 0
        self.dialed = 0
        self.refused = 0
        self.failing = False

    async def connect(self, address, control, timeout):
        self.dialed += 1
        await asyncio.sleep(0)
        if self.failing or len(self.open) >= self.cap:
            self.refused += 1
            return expression.Error(
                errors.ConnectionLost(message="refused", step="connect")
            )
        connection = FakeConnection(self)
        self.open.append(connection)
        self.most = max(self.most, len(self.open))
        return expression.Ok(connection)
