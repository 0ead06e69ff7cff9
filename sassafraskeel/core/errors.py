"""Exceptions of the gateway, and the outcomes and reasons of refused calls."""

from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """Whether a call was executed, as far as the gateway can tell (design 3.2)."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a call was refused; the values are part of the wire format for callers."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_SERVICE = "unknown_service"
    RESIDENCY = "residency"
    WRONG_HOST = "wrong_host"
    NO_SHEET = "no_sheet"
    NOT_READY = "not_ready"
    NO_UPSTREAM = "no_upstream"
    VERSION_GONE = "version_gone"
    VERSION_UNKNOWN = "version_unknown"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    LOOP = "loop"
    DRAINING = "draining"
    CRASHES_UPSTREAM = "crashes_upstream"
    ORDER_ID_MISSING = "order_id_missing"
    ORDER_ID_INVALID = "order_id_invalid"
    ORDER_EXPIRED = "order_expired"
    ORDER_FROM_FUTURE = "order_from_future"
    ORDER_MISMATCH = "order_mismatch"
    ORDER_IN_PROGRESS = "order_in_progress"
    ORDER_RECORD_LOST = "order_record_lost"
    ORDER_RESULT_UNKNOWN = "order_result_unknown"
    OWNER_UNREACHABLE = "owner_unreachable"
    WITNESS_UNREACHABLE = "witness_unreachable"
    VIEW_CHANGING = "view_changing"
    NO_RIGHT_TO_ACT = "no_right_to_act"
    LEDGER_FULL = "ledger_full"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_SILENT = "upstream_silent"
    UNKNOWN_ROUTE = "unknown_route"
    PEER_UNREACHABLE = "peer_unreachable"
    INTERNAL = "internal"


class SassafraskeelError(Exception):
    """Base class of the exceptions of this package."""


class UserError(SassafraskeelError):
    """An error that the user can correct, printed without a traceback.

    The exit status is 2, or 1 for the classes in
    operators.results.NOT_DONE_ERRORS.
    """


class Fault(NamedTuple):
    """An invalid entry of a settings file or sheet."""

    file: str
    line: int
    key: str
    found: str
    allowed: str

    def __str__(self):
        return (
            f"{self.file}:{self.line}: {self.key}: found {self.found!r},"
            f" allowed: {self.allowed}"
        )


class InvalidInput(UserError):
    """A file has one or more faults, all of which are listed."""

    def __init__(self, faults: list[Fault]):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class AddressUnavailable(UserError):
    """A listener's address is in use, or not an address of the machine."""


class TimedOut(SassafraskeelError):
    """An operation did not finish within its time limit."""

    def __init__(self, seconds: float):
        super().__init__(f"timed out after {seconds:g} s")
        self.seconds = seconds


class ConnectionLost(SassafraskeelError):
    """A connection could not be opened, or broke while in use."""


class AcceptFailed(ConnectionLost):
    """A listener that is still open could not accept a connection."""


class ConnectionClosed(ConnectionLost):
    """The peer closed the connection, and all that it had sent before has arrived."""


class ProtocolError(SassafraskeelError):
    """The other end violated the protocol of the connection."""


class AnswerTooLong(ProtocolError):
    """An answer has more bytes than the local end takes."""


class AnswerTruncated(SassafraskeelError):
    """An answer ended before its end marker."""


class StreamNotResumed(AnswerTruncated):
    """A truncated stream could not be resumed and must not be tried again."""


class UpstreamStalled(SassafraskeelError):
    """An upstream made no progress on an answer within the stall timeout."""


class PlatformUnavailable(SassafraskeelError):
    """A platform service did not answer; a write may or may not have happened."""


class PlatformRefused(SassafraskeelError):
    """A platform service answered with an error status."""

    def __init__(self, status: int, detail: str = ""):
        super().__init__(f"platform answered {status} {detail}".rstrip())
        self.status = status


class CompareFailed(SassafraskeelError):
    """A compare-and-swap found another revision than the expected one."""

    def __init__(self, key: str, revision: int):
        super().__init__(f"{key} is at revision {revision}")
        self.key = key
        self.revision = revision


class LeaseLost(SassafraskeelError):
    """A lease has another holder, or too little remaining time to be relied on."""


class HistoryLost(SassafraskeelError):
    """The store no longer has the changes after a revision of an era."""

    def __init__(self, era: int, number: int):
        super().__init__(
            f"the store no longer has the changes after revision {number} of era {era}"
        )


class MalformedDocument(SassafraskeelError):
    """A document of the store or a header of the platform is malformed."""


class SheetConflict(UserError):
    """Another operator's sheet was accepted first."""

    def __init__(self, version: int, digest: str):
        super().__init__(f"sheet version {version} ({digest[:12]}) was accepted first")
        self.version = version
        self.digest = digest


class SheetReplaced(UserError):
    """The content was in force earlier and has been replaced by another sheet."""

    def __init__(self, version: int, current: int):
        super().__init__(
            f"this content was accepted as version {version} and replaced by"
            f" version {current}; use --again to put it in force again"
        )
        self.version = version
        self.current = current


class SheetEmpties(UserError):
    """A sheet removes so many upstreams that it needs confirmation."""

    def __init__(self, reasons: list[str]):
        super().__init__(f"needs --allow-empty: {'; '.join(reasons)}")
        self.reasons = reasons


class HomeMoved(UserError):
    """A sheet moves the owner of at-most-once calls to another failure domain."""

    def __init__(self, moves: list[str]):
        super().__init__(
            f"the home of at-most-once calls cannot be moved: {'; '.join(moves)}"
        )
        self.moves = moves


class SheetTextMissing(SassafraskeelError):
    """The head names a sheet whose text is not in the store."""


class Refusal(SassafraskeelError):
    """A call ended without an answer; `outcome` is whether it was executed."""

    def __init__(
        self,
        outcome: Outcome,
        reason: Reason,
        detail: str = "",
        retry_after: float | None = None,
    ):
        super().__init__(f"{outcome.value}: {reason.value} {detail}".rstrip())
        self.outcome = outcome
        self.reason = reason
        self.detail = detail
        self.retry_after = retry_after
        self.attempts = 0


class UpstreamLost(Refusal):
    """The connection to the upstream ended before the answer was whole."""


def not_run_refusal(
    reason: Reason, detail: str = "", retry_after: float | None = None
) -> Refusal:
    """Return the refusal of a call that was definitely not executed."""
    return Refusal(Outcome.NOT_RUN, reason, detail, retry_after)


def unknown_outcome_refusal(
    reason: Reason, detail: str = "", retry_after: float | None = None
) -> Refusal:
    """Return the refusal of a call that may have been executed."""
    return Refusal(Outcome.UNKNOWN, reason, detail, retry_after)
