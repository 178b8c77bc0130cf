"""Calls to a daemon's operator service, and what their ends mean."""

import collections.abc
import dataclasses
import typing

import expression
import grpc

from fescuestile import errors
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import fescuestile_pb2_grpc as pb_grpc

FAILURE_KEY = "fescuestile-failure-bin"
CALL_TIMEOUT_SECONDS = 15.0
EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNAVAILABLE = 3

EXIT_BY_STATUS = {
    grpc.StatusCode.FAILED_PRECONDITION: EXIT_REFUSED,
    grpc.StatusCode.INVALID_ARGUMENT: EXIT_BAD_INPUT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """How a call failed.

    :ivar exit_code: for scripts
    """

    error: errors.FescuestileError
    exit_code: int


Reply = expression.Result[typing.Any, CallFailed]
Call = collections.abc.Callable[
    [pb_grpc.OperatorServiceStub], collections.abc.Callable[..., typing.Any]
]


def call(
    address: str, choose: Call, request: object, step: str
) -> expression.Result[typing.Any, CallFailed]:
    """Make one call.

    :param address: ``IP:port`` of a daemon's operator service
    :param choose: picks the method of the stub
    :param step: name of the operation, for errors
    """
    with grpc.insecure_channel(address) as channel:
        method = choose(pb_grpc.OperatorServiceStub(channel))
        try:
            reply = method(request, timeout=CALL_TIMEOUT_SECONDS)
        except grpc.RpcError as error:
            return expression.Error(_explain(error, address, step))
    return expression.Ok(reply)


def _explain(error: typing.Any, address: str, step: str) -> CallFailed:
    code = error.code()
    exit_code = EXIT_BY_STATUS.get(code, EXIT_UNAVAILABLE)
    for key, value in error.trailing_metadata() or ():
        if key == FAILURE_KEY:
            failure = pb.Failure.FromString(value)
            return CallFailed(
                errors.FescuestileError(
                    failure.message,
                    failure.step or step,
                    failure.peer or address,
                    failure.field,
                ),
                exit_code,
            )
    if code is grpc.StatusCode.DEADLINE_EXCEEDED:
        message = "no answer in time; the outcome is not known"
    else:
        message = f"the daemon cannot be reached: {error.details()}"
    return CallFailed(
        errors.FescuestileError(message, step, address), exit_code
    )
