"""Requests for configurations over the links between daemons."""

import collections.abc
import typing

from fescuestile_daemon.relay.peers import configuration_spread

REQUEST_TYPE = "configuration"


class Links(typing.Protocol):
    """Links to the peers; see ``PeerLinks``."""

    async def call(
        self,
        peer: str,
        request: collections.abc.Mapping[str, typing.Any],
        timeout: float,
    ) -> object:
        """Return a peer's reply, or a failure that is no mapping."""


class LinkedSource(configuration_spread.ConfigurationSource):
    """Asks peers over their links."""

    def __init__(self, links: Links) -> None:
        """Initialize with the links to the peers."""
        self._links = links

    async def fetch(self, peer: str) -> object | None:
        """Return a peer's document, None if it did not answer with one."""
        reply = await self._links.call(
            peer,
            {"type": REQUEST_TYPE},
            configuration_spread.FETCH_SECONDS,
        )
        if isinstance(reply, collections.abc.Mapping):
            return typing.cast(object, reply.get("document"))
        return None


class ConfigurationHandler:
    """Answers the requests of peers for the document in force."""

    def __init__(
        self, find_document: collections.abc.Callable[[], object | None]
    ) -> None:
        """Initialize.

        :param find_document: returns the document in force, as received
        """
        self._find_document = find_document

    async def handle(
        self, peer: str, request: collections.abc.Mapping[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Return the document in force, None before the first one."""
        return {"document": self._find_document()}
