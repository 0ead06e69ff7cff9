"""The numbered log events, which docs/events.md lists."""

from enum import Enum
from typing import NamedTuple


class Level(Enum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class EventSpec(NamedTuple):
    """Number, level and message of a log event."""

    number: int
    level: Level
    message: str


class Event(Enum):
    """The events that a process may log.

    1xx: process; 2xx: callers; 3xx: upstreams; 4xx: platform; 5xx: gateways;
    6xx: sheet; 7xx: at-most-once orders; 8xx: operators.
    """

    HOST_STARTED = EventSpec(101, Level.INFO, "host started")
    HOST_CLOSED = EventSpec(102, Level.INFO, "host closed")
    TASK_FAILED = EventSpec(103, Level.ERROR, "task failed unexpectedly")
    DRAIN_STARTED = EventSpec(104, Level.INFO, "drain started")
    DRAIN_FINISHED = EventSpec(105, Level.INFO, "drain finished")
    EVENTS_DROPPED = EventSpec(106, Level.WARNING, "repeated log events dropped")
    SETTINGS_READ = EventSpec(107, Level.INFO, "settings read again")
    SETTINGS_REJECTED = EventSpec(108, Level.ERROR, "changed settings are invalid")
    LIBRARY_MESSAGE = EventSpec(109, Level.INFO, "message from a library")
    LONG_TURN = EventSpec(110, Level.WARNING, "a task kept all others waiting")
    PROCESS_FAILED = EventSpec(111, Level.ERROR, "process ends after an error")
    ADDRESS_IN_USE = EventSpec(
        112, Level.WARNING, "address of a listener is not available"
    )
    CALL_REFUSED = EventSpec(201, Level.INFO, "call refused")
    CALL_FAILED = EventSpec(202, Level.WARNING, "answer ended with an error")
    CALL_FINISHED = EventSpec(203, Level.DEBUG, "call finished")
    CALL_INTERNAL_ERROR = EventSpec(
        204, Level.ERROR, "internal error while serving a call"
    )
    CALLER_LEFT = EventSpec(205, Level.INFO, "caller disconnected before its answer")
    CALL_ANSWERED = EventSpec(207, Level.INFO, "call of a route finished")
    CALLER_CONNECTION_LOST = EventSpec(208, Level.INFO, "caller connection lost")
    CONNECTION_REFUSED = EventSpec(206, Level.WARNING, "too many connections")
    ACCEPT_FAILED = EventSpec(209, Level.WARNING, "connection could not be accepted")
    UPSTREAM_DOWN = EventSpec(301, Level.WARNING, "upstream does not report its load")
    UPSTREAM_UP = EventSpec(302, Level.INFO, "upstream reports its load")
    UPSTREAM_LEAVING = EventSpec(
        303, Level.INFO, "upstream is being drained or removed"
    )
    STREAM_RESUMED = EventSpec(304, Level.INFO, "stream resumed on another replica")
    UPSTREAM_DIED = EventSpec(
        305, Level.WARNING, "upstream crashed with calls in flight"
    )
    REQUEST_SUSPECT = EventSpec(
        306, Level.WARNING, "crash suspect waits to run in isolation"
    )
    CONTROL_SENT = EventSpec(307, Level.INFO, "control command sent to an engine")
    CONTROL_PAUSED = EventSpec(308, Level.INFO, "engine control is delayed")
    MODEL_LOADED = EventSpec(309, Level.INFO, "engine loaded a model")
    ATTEMPT_FAILED = EventSpec(310, Level.INFO, "attempt of a call failed")
    REPLICA_LISTED = EventSpec(311, Level.INFO, "replica entry changed")
    REPLICA_GONE = EventSpec(312, Level.INFO, "replica removed")
    COLD_PROBE = EventSpec(313, Level.INFO, "cold-start probe of a replica")
    CALL_SENT = EventSpec(314, Level.INFO, "call sent to a replica or host")
    REJECTION_CUT = EventSpec(315, Level.INFO, "body of a rejection truncated")
    REPLICA_CRASHED = EventSpec(316, Level.WARNING, "replica ended during a call")
    CRASH_SUSPECT_REFUSED = EventSpec(
        317, Level.WARNING, "calls that crash replicas are refused"
    )
    CRASH_SUSPECT_CLEARED = EventSpec(318, Level.INFO, "crash suspect cleared")
    LIMIT_CHANGED = EventSpec(319, Level.INFO, "request limit of a replica changed")
    LIMIT_MALFORMED = EventSpec(
        320, Level.WARNING, "request limit of a replica is malformed"
    )
    RESUME_FAILED = EventSpec(321, Level.INFO, "attempt to resume a stream failed")
    REPLICA_OUTDATED = EventSpec(322, Level.INFO, "older entry of a replica ignored")
    REPLICA_LEAVING = EventSpec(323, Level.INFO, "replica says that it leaves")
    LEAVING_MALFORMED = EventSpec(
        324, Level.WARNING, "leaving header of a replica is malformed"
    )
    GRANT_UNUSED = EventSpec(325, Level.INFO, "granted replica was passed over")
    REPLICA_PAUSED = EventSpec(326, Level.INFO, "replica wants no requests for a while")
    PAUSE_MALFORMED = EventSpec(
        327, Level.WARNING, "Retry-After of a replica is malformed"
    )
    CALL_REJECTED = EventSpec(328, Level.INFO, "replica rejected a call")
    STREAM_TAKEN_UP = EventSpec(329, Level.INFO, "stream taken up by its caller")
    STREAM_VERSIONS_TAKEN_BACK = EventSpec(
        330, Level.INFO, "software version of recent streams is not known"
    )
    REPLICA_FAILED = EventSpec(331, Level.INFO, "a host reported a failed replica")
    REPLICAS_LOST = EventSpec(
        332, Level.WARNING, "this host reaches no replica of its region"
    )
    REPLICAS_REACHED = EventSpec(
        333, Level.INFO, "this host reaches replicas of its region again"
    )
    BRITTLENESS_CHANGED = EventSpec(340, Level.INFO, "brittleness of a replica changed")
    BRITTLENESS_MALFORMED = EventSpec(
        341, Level.WARNING, "brittleness of a replica is malformed"
    )
    PLATFORM_DOWN = EventSpec(401, Level.WARNING, "platform does not answer")
    PLATFORM_UP = EventSpec(402, Level.INFO, "platform answers")
    PLATFORM_WATCH_SILENT = EventSpec(403, Level.WARNING, "store watch timed out")
    MANIFEST_INSTALLED = EventSpec(404, Level.INFO, "manifest in force")
    DOCUMENT_REJECTED = EventSpec(405, Level.WARNING, "document of the store rejected")
    ZONE_EVACUATION = EventSpec(406, Level.INFO, "evacuation of a zone changed")
    HISTORY_LOST = EventSpec(407, Level.INFO, "store history lost; reloading state")
    HOST_REGISTERED = EventSpec(408, Level.INFO, "host registered in the store")
    LEASE_ENDED = EventSpec(409, Level.WARNING, "host lease ended")
    HOST_LISTED = EventSpec(410, Level.INFO, "host registration changed")
    STORE_RESTORED = EventSpec(411, Level.WARNING, "store was restored from a copy")
    MANIFEST_UNANSWERED = EventSpec(
        412, Level.INFO, "manifest of a peer could not be read"
    )
    STORE_READ = EventSpec(413, Level.INFO, "store was read")
    VALUE_LARGE = EventSpec(414, Level.INFO, "document of the store is large")
    PEER_CONNECTED = EventSpec(501, Level.INFO, "control link opened")
    PEER_LOST = EventSpec(502, Level.WARNING, "control link lost")
    PEER_REJECTED = EventSpec(503, Level.WARNING, "peer connection rejected")
    COORDINATOR_SILENT = EventSpec(
        505, Level.WARNING, "coordinator does not answer; calls are placed locally"
    )
    COORDINATOR_CHANGED = EventSpec(
        506, Level.INFO, "coordinator of the region changed"
    )
    FEED_LOST = EventSpec(507, Level.INFO, "store is followed directly")
    FEED_USED = EventSpec(508, Level.INFO, "store is followed through another host")
    STREAM_ORIGIN_UNKNOWN = EventSpec(509, Level.INFO, "origin of a stream is unknown")
    SPARE_FAILED = EventSpec(504, Level.INFO, "spare connection could not be opened")
    HOST_ACCESS = EventSpec(510, Level.INFO, "a host reports its access to replicas")
    SHEET_INSTALLED = EventSpec(601, Level.INFO, "sheet installed")
    SHEET_REJECTED = EventSpec(602, Level.ERROR, "sheet rejected")
    OPERATOR_REJECTED = EventSpec(801, Level.WARNING, "operator request rejected")
    DRAIN_REQUESTED = EventSpec(802, Level.INFO, "drain requested by an operator")
    SHEET_PUBLISHED_AGAIN = EventSpec(
        603, Level.WARNING, "store held an older sheet; published again"
    )
    SHEET_RENUMBERED = EventSpec(
        604, Level.WARNING, "sheet accepted after a restore has a new version"
    )
    SHEET_TEXT_MISSING = EventSpec(
        605, Level.ERROR, "text of the sheet in force is unreadable"
    )
    SHEET_DELTA_FAILED = EventSpec(
        606, Level.WARNING, "sheet delta could not be applied"
    )
    VIEW_INSTALLED = EventSpec(701, Level.INFO, "view in force")
    VIEW_CHANGE = EventSpec(702, Level.INFO, "view change written")
    VIEW_AGREED = EventSpec(
        703, Level.INFO, "order records handed over for a view change"
    )
    VIEW_LEFT = EventSpec(704, Level.WARNING, "removed from the view; rejoining")
    HANDOVER_FAILED = EventSpec(
        705, Level.WARNING, "order records could not be handed over"
    )
    ORDER_UNRESOLVED = EventSpec(706, Level.WARNING, "outcome of an order is unknown")
    SHEET_MOVES_HOME = EventSpec(
        607, Level.ERROR, "sheet accepted after a restore moves a home; not used"
    )
