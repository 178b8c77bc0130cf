"""Positions that daemons of an availability zone share.

In each zone one daemon samples the fresh positions of a group, and the others
ask it, so that reports do not grow with the number of daemons. An answer
tells the age of its sample at the time at which it was made. It was made
after the question was sent, so the position covers all that was acknowledged
before the question minus that age, by the clock of the daemon that asks. No
clock of another host is compared with its own, and an answer that is delayed
only looks older than it is.
"""

import dataclasses
import re
import typing

import xxhash

from fescuestile import positions

# Longest message; group names are short.
MAX_MESSAGE_BYTES = 512
MICROSECONDS = 1_000_000
_QUESTION = re.compile(rb"ask ([0-9]{1,20}) ([!-~]{1,256})")
_ANSWER = re.compile(
    rb"position ([0-9]{1,20}) ([0-9]{1,12}) ([0-9]{1,20}) ([0-9]{1,20})"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A daemon that shares positions.

    :ivar address: ``IP:port`` of its questions and answers
    :ivar weight: processor cores that it may use
    """

    name: str
    zone: str
    address: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """Request for a fresh position of a group.

    :ivar number: repeated by the answer, not to be guessed
    """

    number: int
    group: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A fresh position.

    :ivar number: that of the question
    :ivar age: seconds between the sample and the answer
    :ivar position: position that the sample found
    """

    number: int
    age: float
    position: positions.Position


def encode(message: Question | Answer) -> bytes:
    """Return the datagram of a message."""
    if isinstance(message, Question):
        return f"ask {message.number} {message.group}".encode()
    # Rounded up: the sample must not look younger than it is.
    age = int(message.age * MICROSECONDS) + 1
    position = message.position
    return (
        f"position {message.number} {age} {position.term} {position.index}"
    ).encode()


def decode(datagram: bytes) -> Question | Answer | None:
    """Return the message of a datagram, None if it is malformed."""
    if len(datagram) > MAX_MESSAGE_BYTES:
        return None
    found = _QUESTION.fullmatch(datagram)
    if found is not None:
        return Question(int(found[1]), found[2].decode())
    found = _ANSWER.fullmatch(datagram)
    if found is None:
        return None
    number, age, term, index = map(int, found.groups())
    return Answer(number, age / MICROSECONDS, positions.Position(term, index))


def choose_sampler(
    group: str, peers: typing.Iterable[Peer], avoided: typing.Container[str]
) -> Peer | None:
    """Return the peer that samples a group's positions.

    Daemons that know the same peers choose the same one, by rendezvous
    hashing.

    :param peers: daemons of one zone
    :param avoided: names of those that did not answer lately
    :returns: None without a peer
    """
    return max(
        (peer for peer in peers if peer.name not in avoided),
        key=lambda peer: (
            xxhash.xxh64_intdigest(f"{group} {peer.name}".encode()),
            peer.name,
        ),
        default=None,
    )
