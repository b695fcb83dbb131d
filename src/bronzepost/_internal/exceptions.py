"""Errors of bronzepost.

The message of an error says what failed and what to do about it. Errors also
have the step that failed and the peer involved, which log lines and refusals
contain.
"""

import enum


class RunState(enum.StrEnum):
    """Whether a refused request was run by a backend server.

    ``NOT_RUN`` guarantees that no backend server received the request.
    """

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class BronzepostError(Exception):
    """Base class of all errors of bronzepost."""

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        """Store the message, the step that failed and the peer involved."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message followed by the step and the peer."""
        context = f'at {self.step}'
        if self.peer:
            context = f'{context}, peer {self.peer}'
        return f'{self.message} ({context})'


class SettingsError(BronzepostError):
    """A value in a settings file or on the command line is invalid.

    ``path`` is the name of the setting or file, ``line`` counts from 1 (0 if
    unknown) and ``shown`` is the invalid value as text, with keys hidden.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
        path: str = '',
        line: int = 0,
        shown: str = '',
        expected: str = '',
    ) -> None:
        """Store where the invalid value is and what is expected instead."""
        super().__init__(message, step=step, peer=peer)
        self.path = path
        self.line = line
        self.shown = shown
        self.expected = expected


class SettingsErrorGroup(ExceptionGroup[SettingsError]):
    """All problems of one settings file."""


class NodeUnreachableError(BronzepostError):
    """The command line got no answer, or one that is not from a node."""


class ProtocolError(BronzepostError):
    """A peer sent a message that its protocol does not allow."""


class UnknownMessageError(ProtocolError):
    """A peer of another build sent a message that this build cannot decode.

    ``sender`` is the peer's name, and ``kind`` the tag of the message.
    """

    def __init__(
        self, message: str, *, step: str, sender: str, kind: str
    ) -> None:
        """Store who sent the message, and its kind."""
        super().__init__(message, step=step, peer=sender)
        self.sender = sender
        self.kind = kind


class LogServiceError(BronzepostError):
    """The log service did not answer, or refused the request."""


class AmbiguousAppendError(LogServiceError):
    """An append was not answered, so the records may or may not be stored."""


class BackendServerError(BronzepostError):
    """A backend server did not answer, or answered with an error."""


class RefusedError(BronzepostError):
    """A request is refused; ``code`` is the reason for programs to read.

    ``status`` is the HTTP status and ``parameter`` the name of the parameter
    at fault, if there is one.
    """

    def __init__(
        self,
        message: str,
        *,
        code: str,
        status: int,
        step: str,
        peer: str = '',
        run: RunState = RunState.NOT_RUN,
        retry_after_seconds: float | None = None,
        parameter: str = '',
    ) -> None:
        """Store the reason, the HTTP status and when to retry."""
        super().__init__(message, step=step, peer=peer)
        self.code = code
        self.status = status
        self.run = run
        self.retry_after_seconds = retry_after_seconds
        self.parameter = parameter


class ExchangeError(BronzepostError):
    """An HTTP exchange did not complete.

    ``was_sent`` is false only if the peer cannot have received the request. The
    exchange went through the VM ``relay``, if that is set. ``is_local`` is true if
    this VM broke it off for a reason of its own, which is no fault of the peer.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        was_sent: bool,
        relay: str = '',
        is_local: bool = False,
    ) -> None:
        """Store the step, the peer and whether it may have the request."""
        super().__init__(message, step=step, peer=peer)
        self.was_sent = was_sent
        self.relay = relay
        self.is_local = is_local


class AnswerTooLargeError(ExchangeError):
    """An answer, or one event of a stream, is larger than its bound."""


class LogRefusedError(LogServiceError):
    """The log service did not execute the request; it may be retried later."""

    def __init__(
        self, message: str, *, step: str, peer: str, retry_after_seconds: float
    ) -> None:
        """Store the seconds after which to retry."""
        super().__init__(message, step=step, peer=peer)
        self.retry_after_seconds = retry_after_seconds


class LogLimitedError(LogRefusedError):
    """The log service refused a request because there were too many of them."""


class LogHeldError(LogRefusedError):
    """The request was not sent, since the log service refused others just now."""


class LogRejectedError(LogRefusedError):
    """The log service rejected this request, for example because of its size."""
