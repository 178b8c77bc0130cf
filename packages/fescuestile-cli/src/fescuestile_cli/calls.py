"""Calls to a daemon's operator service, and their exit codes."""

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
class CallFailure:
    """Error of a call.

    :ivar exit_code: exit code of the command
    """

    error: errors.FescuestileError
    exit_code: int


Reply = expression.Result[typing.Any, CallFailure]
MethodSelector = collections.abc.Callable[
    [pb_grpc.OperatorServiceStub], collections.abc.Callable[..., typing.Any]
]


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the TLS files, in PEM format.

    :ivar authority: certificate authority of the daemons
    :ivar certificate: certificate chain of the operator
    :ivar key: private key of that certificate
    """

    ca_certificate: str
    certificate: str
    key: str


def call(
    address: str,
    select_method: MethodSelector,
    request: object,
    step: str,
    tls_files: TlsFiles | None = None,
) -> expression.Result[typing.Any, CallFailure]:
    """Call the operator service of a daemon.

    :param address: ``IP:port`` of a daemon's operator service
    :param select_method: returns the method of the stub to call
    :param step: name of the operation, for errors
    :param tls_files: None for an unencrypted connection
    :raises: InvalidInput when a TLS file cannot be read
    """
    with _open_channel(address, tls_files) as channel:
        method = select_method(pb_grpc.OperatorServiceStub(channel))
        try:
            reply = method(request, timeout=CALL_TIMEOUT_SECONDS)
        except grpc.RpcError as error:
            return expression.Error(_build_failure(error, address, step))
    return expression.Ok(reply)


def _open_channel(address: str, tls_files: TlsFiles | None) -> grpc.Channel:
    if tls_files is None:
        return grpc.insecure_channel(address)
    credentials = grpc.ssl_channel_credentials(
        _read_file("--ca-file", tls_files.ca_certificate),
        _read_file("--key-file", tls_files.key),
        _read_file("--certificate-file", tls_files.certificate),
    )
    return grpc.secure_channel(address, credentials)


def _read_file(option: str, path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.InvalidInput(
            f"cannot read the file: {error}", "read keys", path, option
        ) from error


def _build_failure(error: typing.Any, address: str, step: str) -> CallFailure:
    code = error.code()
    exit_code = EXIT_BY_STATUS.get(code, EXIT_UNAVAILABLE)
    for key, value in error.trailing_metadata() or ():
        if key == FAILURE_KEY:
            failure = pb.Failure.FromString(value)
            return CallFailure(
                errors.FescuestileError(
                    failure.message,
                    failure.step or step,
                    failure.peer or address,
                    failure.field,
                ),
                exit_code,
            )
    if code is grpc.StatusCode.DEADLINE_EXCEEDED:
        message = "no answer within the timeout; the outcome is not known"
    else:
        message = f"the daemon cannot be reached: {error.details()}"
    return CallFailure(
        errors.FescuestileError(message, step, address), exit_code
    )
