"""Chain of filters that a request passes through."""

import abc
import collections.abc
import typing

import expression

from fescuestile import errors
from fescuestile import requests

Outcome = expression.Result[requests.Answer, errors.FescuestileError]

E = typing.TypeVar("E")
Proceed = collections.abc.Callable[[E], collections.abc.Awaitable[Outcome]]


class Filter(abc.ABC, typing.Generic[E]):
    """One stage of a chain."""

    @abc.abstractmethod
    async def handle(self, exchange: E, proceed: Proceed[E]) -> Outcome:
        """Handle an exchange.

        :param exchange: the request and the results of earlier stages
        :param proceed: runs the stages after this one
        :returns: the answer or an error
        """


def create_chain(filters: typing.Sequence[Filter[E]]) -> Proceed[E]:
    """Return a function that runs an exchange through all filters.

    The last filter must not call ``proceed``.
    """
    proceed: Proceed[E] = _raise_at_end
    for stage in reversed(filters):
        proceed = _bind(stage, proceed)
    return proceed


def _bind(stage: Filter[E], rest: Proceed[E]) -> Proceed[E]:
    async def run(exchange: E) -> Outcome:
        return await stage.handle(exchange, rest)

    return run


async def _raise_at_end(exchange: object) -> Outcome:
    raise RuntimeError("the last filter called proceed")
