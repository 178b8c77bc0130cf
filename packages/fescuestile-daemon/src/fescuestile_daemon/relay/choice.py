"""Where a statement goes."""

import asyncio
import time

from fescuestile import endpoint_choice
from fescuestile import positions
from fescuestile_daemon.relay import attempts
from fescuestile_daemon.relay import members
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import options

Kind = messages.Kind

# Pause between two looks at a primary that is being waited for, in seconds.
LOOK_SECONDS = 0.1


class Choice:
    """Chooses among a group's endpoints."""

    def __init__(self, relay_options: options.RelayOptions, zone: str) -> None:
        """Take the limits and this daemon's availability zone."""
        self._options = relay_options
        self._zone = zone

    def choose(
        self, piece: attempts.Piece, minimum: positions.Position | None
    ) -> members.Member | None:
        """Return the endpoint for a read, None when there is none.

        Endpoints that can't serve it in time count as tried.

        :param minimum: position that the endpoint's log must hold
        """
        group = piece.group
        primary = group.find_primary()
        able = [
            member.describe(
                piece.make_work(member), minimum, self._zone, member is primary
            )
            for member in group.list_candidates()
        ]
        in_time = [c for c in able if c.in_time]
        piece.tried.update(c.name for c in able if not c.in_time)
        fresh = [c for c in in_time if c.name not in piece.tried]
        name = endpoint_choice.choose(fresh or in_time)
        return group.members[name] if name else None

    async def find_primary(
        self, piece: attempts.Piece
    ) -> members.Member | None:
        """Return the primary, waiting for one while there is time.

        Nothing is sent to one that leaves questions unanswered: what was
        not sent can go to its successor.
        """
        while True:
            member = piece.group.find_primary()
            if member is not None:
                silence = member.measure_silence(time.monotonic())
                if silence < self._options.hold_after:
                    return member
            left = piece.left
            if left < attempts.LEAST_SECONDS or piece.group.is_out_of_reach():
                return None
            await piece.group.wait_change(min(left, LOOK_SECONDS))

    async def recover(
        self,
        piece: attempts.Piece,
        member: members.Member,
        outcome: messages.Outcome,
    ) -> None:
        """Find out why an endpoint refused before the next attempt."""
        if outcome.kind is Kind.NOT_PRIMARY:
            await piece.group.inspect(
                member, messages.Inspect(), self._options.inspect_timeout
            )
            if piece.group.find_primary() is member:
                await piece.group.wait_change(
                    min(max(piece.left, 0.0), self._options.busy_delay)
                )
        else:
            await asyncio.sleep(
                min(max(piece.left, 0.0), self._options.busy_delay)
            )
