"""Passes the requests of peers on by their type."""

import abc
import collections.abc
import typing

from fescuestile_daemon.relay.peers import links


class TypedHandler(typing.Protocol):
    """Serves the requests of one type."""

    @abc.abstractmethod
    async def handle(
        self, peer: str, request: collections.abc.Mapping[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Serve a peer's request."""


class RequestDispatcher(links.RequestHandler):
    """Serves requests of known types, and statements by another handler."""

    def __init__(
        self,
        statements: links.RequestHandler,
        by_type: collections.abc.Mapping[str, TypedHandler],
    ) -> None:
        """Initialize.

        :param statements: serves the requests without one of the types
        :param by_type: serve the others
        """
        self._statements = statements
        self._by_type = by_type

    async def handle(
        self, peer: str, request: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Serve a peer's request."""
        type_ = request.get("type")
        handler = self._by_type.get(type_) if isinstance(type_, str) else None
        return await (handler or self._statements).handle(peer, request)

    def disconnect(self, peer: str) -> None:
        """Tell the handler of statements that a peer's link was lost."""
        self._statements.disconnect(peer)
