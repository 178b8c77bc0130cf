"""Calls to a daemon's operator service, and what their ends mean."""

import collections.abc
import dataclasses
import pathlib
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


@dataclasses.dataclass(frozen=True, slots=True)
class KeyFiles:
    """Files for TLS, in PEM.

    :ivar authority: who vouches for the daemons
    :ivar certificate: the operator's certificate chain
    :ivar key: its private key
    """

    authority: str
    certificate: str
    key: str


def call(
    address: str,
    choose: Call,
    request: object,
    step: str,
    files: KeyFiles | None = None,
) -> expression.Result[typing.Any, CallFailed]:
    """Make one call.

    :param address: ``IP:port`` of a daemon's operator service
    :param choose: picks the method of the stub
    :param step: name of the operation, for errors
    :param files: files for TLS, None for plain text
    :raises: InvalidInput when a file can't be read
    """
    with _open_channel(address, files) as channel:
        method = choose(pb_grpc.OperatorServiceStub(channel))
        try:
            reply = method(request, timeout=CALL_TIMEOUT_SECONDS)
        except grpc.RpcError as error:
            return expression.Error(_explain(error, address, step))
    return expression.Ok(reply)


def _open_channel(address: str, files: KeyFiles | None) -> grpc.Channel:
    if files is None:
        return grpc.insecure_channel(address)
    credentials = grpc.ssl_channel_credentials(
        _read("--ca-file", files.authority),
        _read("--key-file", files.key),
        _read("--certificate-file", files.certificate),
    )
    return grpc.secure_channel(address, credentials)


def _read(option: str, path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.InvalidInput(
            f"cannot read the file: {error}", "read keys", path, option
        ) from error


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
