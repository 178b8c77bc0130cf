"""Validation of callers' frames and operators' plans.

Each function converts a generated message to the library's data class or
returns an ``InvalidInput`` that names the invalid field. Validation comes
before any execution, so an invalid request has not run.
"""

import dataclasses
import typing

import expression
from google.protobuf import message as protobuf_message
import pydantic

from fescuestile import addresses
from fescuestile import errors
from fescuestile import plans
from fescuestile import positions
from fescuestile import requests
from fescuestile import results
from fescuestile_api import fescuestile_pb2 as pb

STEP = "decode"
PLAN_STEP = "decode plan"
MILLISECONDS_PER_SECOND = 1000
MAX_NAME_LENGTH = 128
MAX_TOKEN_BYTES = 4096
MAX_GROUP_SIZE = 100

T = typing.TypeVar("T")
DecodeResult = expression.Result[T, errors.InvalidInput]

Name = typing.Annotated[
    str,
    pydantic.StringConstraints(
        min_length=1, max_length=MAX_NAME_LENGTH, pattern=r"^[!-~]+$"
    ),
]
OptionalName = typing.Annotated[
    str,
    pydantic.StringConstraints(
        max_length=MAX_NAME_LENGTH, pattern=r"^[!-~]*$"
    ),
]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of one request.

    :ivar request_bytes: maximum size of a request
    :ivar default_deadline: seconds until the deadline of a request that
        names none
    :ivar maximum_deadline: maximum seconds until a deadline
    """

    request_bytes: int
    default_deadline: float
    maximum_deadline: float


class Model(pydantic.BaseModel):
    """Base of the models, which read a message's attributes."""

    model_config = pydantic.ConfigDict(from_attributes=True, frozen=True)


class OpenModel(Model):
    """Open frame, the first of a stream."""

    caller: Name
    token: typing.Annotated[
        bytes, pydantic.Field(max_length=MAX_TOKEN_BYTES)
    ] = b""


class RequestModel(Model):
    """Fields of a request that are validated without its plan."""

    sequence: int = pydantic.Field(gt=0)
    request_id: Name
    database: Name
    kind: Name
    rank: OptionalName
    repeatable: bool
    transaction: OptionalName


class RankModel(Model):
    """Rank of a plan."""

    name: Name
    floor: float = pydantic.Field(ge=0, le=1, allow_inf_nan=False)


class KindModel(Model):
    """Kind of a plan."""

    name: Name
    rank: Name
    staleness_ms: int


class EndpointModel(Model):
    """Endpoint of a plan."""

    name: Name
    zone: Name
    address: typing.Annotated[
        str, pydantic.AfterValidator(addresses.parse_address)
    ]
    slots: int
    connections: int
    readable: bool


Item = typing.TypeVar("Item")
Items = typing.Annotated[
    tuple[Item, ...],
    pydantic.BeforeValidator(tuple),
    pydantic.Field(max_length=MAX_GROUP_SIZE),
]


class PlanModel(Model):
    """Plan of one database group."""

    database: Name
    endpoints: Items[EndpointModel]
    ranks: Items[RankModel]
    kinds: Items[KindModel]


def decode_frame(data: bytes, peer: str = "") -> DecodeResult[pb.CallerFrame]:
    """Decode a caller's frame.

    :param data: serialized frame
    :param peer: name of the caller, for errors
    """
    try:
        frame = pb.CallerFrame.FromString(data)
    except protobuf_message.DecodeError as error:
        return refuse("frame", f"malformed frame: {error}", peer)
    if frame.WhichOneof("frame") is None:
        return refuse(
            "frame", "the frame holds neither open nor request", peer
        )
    return results.succeed(frame)


def decode_open(message: pb.Open, peer: str = "") -> DecodeResult[OpenModel]:
    """Validate the Open frame of a stream."""
    try:
        return results.succeed(OpenModel.model_validate(message))
    except pydantic.ValidationError as error:
        return _reject_invalid_model(error, STEP, peer)


def decode_request(
    message: pb.Request,
    caller: str,
    plan: plans.Plan | None,
    limits: RequestLimits,
    now: float,
    minimum: positions.Position = positions.START,
) -> DecodeResult[requests.Request]:
    """Validate a request against the plan of its database.

    :param message: decoded request
    :param caller: name of the caller
    :param plan: plan of the database, None when there is none
    :param now: monotonic seconds
    :param minimum: position that the session depends on
    """
    if message.ByteSize() > limits.request_bytes:
        text = f"the request is over {limits.request_bytes} bytes"
        return refuse("request", text, caller)
    try:
        model = RequestModel.model_validate(message)
    except pydantic.ValidationError as error:
        return _reject_invalid_model(error, STEP, caller)
    if plan is None or plan.database != model.database:
        text = f"unknown database {model.database!r}"
        return refuse("database", text, caller)
    kind = plan.kind_by_name.get(model.kind)
    if kind is None:
        return refuse("kind", f"unknown kind {model.kind!r}", caller)
    staleness = _read_staleness(message, kind)
    time_left = _read_time_left(message, limits)
    action = message.WhichOneof("action")
    field_error = (
        _check_rank(model, kind, plan)
        or _check_staleness(staleness, kind)
        or _check_deadline(time_left, limits)
        or _check_action(message, action)
    )
    if field_error is not None:
        return refuse(field_error.field, field_error.message, caller)
    return results.succeed(
        requests.Request(
            request_id=model.request_id,
            caller=caller,
            database=model.database,
            kind=model.kind,
            level=plan.level_by_rank[model.rank or kind.rank],
            staleness=staleness,
            deadline=now + time_left,
            repeatable=model.repeatable,
            action=ACTION_BY_NAME[action],
            text=message.statement.text,
            read_only=_is_read_only(message),
            transaction=model.transaction,
            minimum=minimum,
        )
    )


def decode_plan(message: pb.Plan) -> DecodeResult[plans.Plan]:
    """Validate an operator's plan."""
    try:
        model = PlanModel.model_validate(message)
    except pydantic.ValidationError as error:
        return _reject_invalid_model(error, PLAN_STEP, "")
    return plans.check_plan(
        plans.Plan(
            database=model.database,
            endpoints=tuple(
                plans.Endpoint(**dict(endpoint))
                for endpoint in model.endpoints
            ),
            ranks=tuple(plans.Rank(**dict(rank)) for rank in model.ranks),
            kinds=tuple(
                plans.Kind(
                    name=kind.name,
                    rank=kind.rank,
                    staleness=kind.staleness_ms / MILLISECONDS_PER_SECOND,
                )
                for kind in model.kinds
            ),
        )
    )


def encode_plan(plan: plans.Plan) -> pb.Plan:
    """Return the protobuf message of a plan."""
    return pb.Plan(
        database=plan.database,
        endpoints=[
            pb.Endpoint(**dataclasses.asdict(endpoint))
            for endpoint in plan.endpoints
        ],
        ranks=[
            pb.Rank(name=rank.name, floor=rank.floor) for rank in plan.ranks
        ],
        kinds=[
            pb.Kind(
                name=kind.name,
                rank=kind.rank,
                staleness_ms=round(kind.staleness * MILLISECONDS_PER_SECOND),
            )
            for kind in plan.kinds
        ],
    )


def refuse(
    field: str, message: str, peer: str = "", step: str = STEP
) -> DecodeResult[typing.Any]:
    """Return an ``InvalidInput`` as a result."""
    return expression.Error(
        errors.InvalidInput(message=message, step=step, peer=peer, field=field)
    )


ACTION_BY_NAME: typing.Mapping[str | None, requests.Action] = {
    action.value: action for action in requests.Action
}
TRANSACTION_ACTIONS = ("commit", "rollback")


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldError:
    """Invalid field of a request."""

    field: str
    message: str


def _check_rank(
    model: RequestModel, kind: plans.Kind, plan: plans.Plan
) -> _FieldError | None:
    if not model.rank:
        return None
    level = plan.level_by_rank.get(model.rank)
    if level is None:
        return _FieldError("rank", f"unknown rank {model.rank!r}")
    if level < plan.level_by_rank[kind.rank]:
        return _FieldError(
            "rank", f"the rank is more urgent than that of kind {kind.name!r}"
        )
    return None


def _check_staleness(staleness: float, kind: plans.Kind) -> _FieldError | None:
    if staleness > kind.staleness:
        return _FieldError(
            "staleness_ms",
            f"kind {kind.name!r} allows at most {kind.staleness:g} s",
        )
    return None


def _check_deadline(
    time_left: float, limits: RequestLimits
) -> _FieldError | None:
    if time_left <= 0:
        return _FieldError("deadline_ms", "the deadline has expired")
    if time_left > limits.maximum_deadline:
        return _FieldError(
            "deadline_ms", f"more than {limits.maximum_deadline:g} s away"
        )
    return None


def _check_action(
    message: pb.Request, action: str | None
) -> _FieldError | None:
    if action is None:
        return _FieldError("action", "the request names no known action")
    if action == "statement" and not message.statement.text:
        return _FieldError("statement.text", "the statement is empty")
    if action in TRANSACTION_ACTIONS and not message.transaction:
        return _FieldError("transaction", f"{action} without a transaction id")
    if action == "begin" and message.transaction:
        return _FieldError("transaction", "begin inside an open transaction")
    return None


def _read_staleness(message: pb.Request, kind: plans.Kind) -> float:
    if message.HasField("staleness_ms"):
        return message.staleness_ms / MILLISECONDS_PER_SECOND
    return kind.staleness


def _read_time_left(message: pb.Request, limits: RequestLimits) -> float:
    if message.HasField("deadline_ms"):
        return message.deadline_ms / MILLISECONDS_PER_SECOND
    return limits.default_deadline


def _is_read_only(message: pb.Request) -> bool:
    return message.statement.read_only or message.begin.read_only


def _reject_invalid_model(
    error: pydantic.ValidationError, step: str, peer: str
) -> DecodeResult[typing.Any]:
    """Return the first validation error as an ``InvalidInput``."""
    first = error.errors(include_url=False)[0]
    parts = [str(part) for part in first["loc"]]
    text = first["msg"].removeprefix("Value error, ")
    return refuse(".".join(parts), text, peer, step)
