"""The chain of filters that a request passes through."""

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
    """One stage of the chain."""

    @abc.abstractmethod
    async def handle(self, exchange: E, proceed: Proceed[E]) -> Outcome:
        """Handle an exchange.

        :param exchange: the request and what earlier stages found
        :param proceed: runs the stages after this one
        :returns: the answer, or why there is none
        """


def create_chain(filters: typing.Sequence[Filter[E]]) -> Proceed[E]:
    """Return a function that runs an exchange through all filters.

    The last filter must not call ``proceed``.
    """
    proceed: Proceed[E] = _refuse_end
    for stage in reversed(filters):
        proceed = _join(stage, proceed)
    return proceed


def _join(stage: Filter[E], rest: Proceed[E]) -> Proceed[E]:
    async def run(exchange: E) -> Outcome:
        return await stage.handle(exchange, rest)

    return run


async def _refuse_end(exchange: object) -> Outcome:
    raise RuntimeError("the last filter called proceed")
