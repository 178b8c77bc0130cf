"""Runs a routed request at its endpoint's owner, here or over a link."""

import expression

from fescuestile import clock
from fescuestile import errors
from fescuestile import failures
from fescuestile import link_messages
from fescuestile import members
from fescuestile import requests
from fescuestile import results
from fescuestile_daemon import filters
from fescuestile_daemon import links
from fescuestile_daemon import owner
from fescuestile_daemon import published

STEP = "forward"
REPLY_GRACE_SECONDS = 0.05


class Dispatcher:
    """Runs requests at the owners of their endpoints."""

    def __init__(
        self,
        own_id: str,
        local_owner: owner.Owner,
        link_pool: links.Links,
        membership: published.Published[members.MembershipSnapshot],
        time_source: clock.Clock,
    ) -> None:
        """Initialize and register for replies on the links.

        :param own_id: id of this daemon
        :param local_owner: runs requests at endpoints owned here
        """
        self._own_id = own_id
        self._local_owner = local_owner
        self._links = link_pool
        self._membership = membership
        self._clock = time_source
        link_pool.add_handler(link_messages.ForwardReply, self._receive_reply)

    async def run(
        self,
        owner_id: str,
        endpoint: str,
        term: int,
        request: requests.Request,
    ) -> filters.Outcome:
        """Run a request at an endpoint.

        :param owner_id: daemon that owns the endpoint
        :param endpoint: name of the endpoint
        :param term: latest term known here
        :param request: the request
        """
        if owner_id == self._own_id:
            return await self._local_owner.run(
                endpoint, term, request, self._own_id
            )
        member = self._membership.get().by_id.get(owner_id)
        if member is None:
            return expression.Error(
                errors.NotRun(
                    message="the endpoint's owner is not a known member",
                    step=STEP,
                    peer=owner_id or endpoint,
                )
            )
        remaining = request.deadline - self._clock.now()
        reply = await self._links.request(
            member,
            lambda number: link_messages.Forward(
                number, endpoint, term, remaining, request
            ),
            remaining + REPLY_GRACE_SECONDS,
        )
        if reply.is_error():
            return expression.Error(_convert_error(reply.error, owner_id))
        return read_reply(reply.ok, owner_id)

    async def _receive_reply(
        self, peer: str, message: link_messages.ForwardReply
    ) -> None:
        self._links.resolve(message.id, message)


def read_reply(
    reply: link_messages.ForwardReply, peer: str
) -> filters.Outcome:
    """Return the outcome in an owner's reply."""
    if reply.answer is not None:
        return results.succeed(reply.answer)
    if reply.failure is not None:
        return expression.Error(failures.restore_error(reply.failure))
    return expression.Error(
        errors.UnknownOutcome(
            message="the owner's reply has neither answer nor failure",
            step=STEP,
            peer=peer,
        )
    )


def _convert_error(
    error: errors.FescuestileError, peer: str
) -> errors.FescuestileError:
    if isinstance(error, errors.NotRun):
        return error
    return errors.UnknownOutcome(
        message=f"the owner did not answer: {error.message}",
        step=STEP,
        peer=peer,
    )
