"""The messages between gateway hosts; gateways.codec encodes them."""

from typing import NamedTuple

from sassafraskeel.core.types import Headers, HostInfo

# Stands for the time since the drain of a host that does not drain.
NOT_DRAINING = -1.0
# Stands for the limit of a replica that names none.
NO_LIMIT = -1.0


class Hello(NamedTuple):
    """The first message on a connection, sent by both ends.

    `purpose` is "control", "calls" or "manifest"; to the last one, the accepting end
    answers with a ManifestDocument after its hello. In the hello of the accepting end,
    names of features follow: messages that hosts of earlier versions do not know, and
    that end a link to them.
    """

    host: HostInfo
    token: str
    sheet_version: int
    purpose: str


class Ping(NamedTuple):
    """Heartbeat of the dialling host, which has identified itself in its hello.

    `view_number` is the number of the sender's view; the ping requests a promise under
    that view.
    """

    sheet_version: int
    view_number: int


class Pong(NamedTuple):
    """The reply to Ping; a host that is `draining` gets no new work.

    `host_checksum` is the checksum of the sender's HostInfo: when it changes, the
    receiver reopens the link and gets the new HostInfo in the hello. `promised` means
    that for a limited time the sender will not agree to remove the receiver from the
    view.
    """

    sheet_version: int
    draining: bool
    host_checksum: int
    view_number: int
    promised: bool


class SummaryPush(NamedTuple):
    """Domain summaries that the receiver lacks (see gateways.summaries).

    `new_link` makes the receiver drop its record of which summaries the sender has.
    """

    loads: list
    rosters: list
    new_link: bool


class SummaryPull(NamedTuple):
    """The reply to SummaryPush: summaries that the sender of the push lacks."""

    loads: list
    rosters: list


class Offer(NamedTuple):
    """The header of a call to be forwarded; answered by Accept or Refuse.

    `timeout` is the remaining time of the call in seconds.
    """

    call_id: str
    workspace: str
    service: str
    kind: str
    method: str
    path: str
    headers: Headers
    timeout: float
    priority: int
    hops: tuple[str, ...]
    order_id: str
    stream: bool
    sheet_version: int


class Accept(NamedTuple):
    """The reply to an offer: the sender accepts the call and may process its data."""

    sheet_version: int


class Refuse(NamedTuple):
    """The call ends without an answer; sent instead of Accept or a head.

    `retry_after` is in seconds; a negative value means that there is none.
    """

    outcome: str
    reason: str
    detail: str
    retry_after: float


class Body(NamedTuple):
    """The body of a call, or the last part of a long one."""

    data: bytes


class BodyPart(NamedTuple):
    """A part of a long body other than the last one, which is sent as Body."""

    data: bytes


class AnswerHead(NamedTuple):
    """The status and headers of an answer."""

    status: int
    headers: Headers


class RouteAnswerHead(NamedTuple):
    """The status and headers of an answer to a call of a route.

    `software_version` is that of the replica that writes the answer.
    """

    status: int
    headers: Headers
    software_version: str


class AnswerData(NamedTuple):
    """A part of an answer's body."""

    data: bytes


class AnswerEnd(NamedTuple):
    """The answer is complete."""


class AnswerFail(NamedTuple):
    """The answer is truncated; `detail` names the class of the error."""

    detail: str


class SheetAnnouncement(NamedTuple):
    """Announces the sheet in force on the sender; answered by SheetStatus."""

    version: int
    digest: str


class SheetStatus(NamedTuple):
    """The stamp of the sheet in force on the sender: version and shortened digest."""

    version: int
    digest: str


class SheetRequest(NamedTuple):
    """Requests the changes since the sheet of a given stamp; answered by SheetDelta."""

    version: int
    digest: str


class SheetDelta(NamedTuple):
    """A sheet as a delta from version `base`, or as complete text if `base` is 0.

    `lineage` holds the stamps of the versions after `base`. In the reply to a
    SheetRequest, version 0 means that the sender has no newer sheet. A SheetDelta that
    is sent as a request is answered by SheetStatus.
    """

    base: int
    base_digest: str
    version: int
    digest: str
    data: bytes
    lineage: tuple[str, ...]


class RouteHeartbeat(NamedTuple):
    """Heartbeat of a host that serves routes; answered by RouteHeartbeatReply.

    `version` is the version of the manifest in force; `host_checksum` is as in Pong.
    `draining_seconds` is the time since the drain of the sender began, or
    NOT_DRAINING. A row of `loads` holds the name of a replica, the number of the
    sender's requests in flight at that replica, and the number of their prompt tokens
    that the replica has yet to process; requests that the receiver granted are left
    out. A row of `statements` holds the name of a replica, the start of its run in
    Unix milliseconds, the limit that it named or NO_LIMIT, the age of that statement in
    seconds, whether the replica leaves, the rejections that it survives in a second or
    NO_LIMIT, and the age of that statement, negative if there is none.
    `roster_version` is the version of the receiver's roster that the sender has, or 0.
    A host that coordinates its region sends the load of its services: a row of
    `services` holds a name and the fields of decisions.region_loads.ServiceLoad.
    """

    version: int
    draining_seconds: float
    host_checksum: int
    loads: list
    statements: list
    roster_version: int
    coordinates: bool
    services: list


class RouteHeartbeatReply(NamedTuple):
    """The reply to RouteHeartbeat.

    The fields of the same names are as there. A row of `regions` holds the name of
    another region, the age of its load in seconds, and rows like those of `services`.
    A row of `roster` holds the name, the incarnation and the state of a host, and the
    time since its drain began, or NOT_DRAINING; the rows bring the receiver to
    `roster_version`, or are the complete roster.
    """

    version: int
    draining_seconds: float
    host_checksum: int
    coordinates: bool
    statements: list
    services: list
    regions: list
    roster_version: int
    roster_complete: bool
    roster: list


class PlacementRequest(NamedTuple):
    """Asks the coordinator for a target; answered by Placed or Refuse.

    `number` identifies the request and its grant among those of the sender. The other
    fields are those of a RouteOffer, and the names of targets that are not to be used
    or only if no other one is better. `forwarded` calls are not sent on to another
    region. `fingerprint` and `software_version` are those of core.types.Call.
    """

    number: int
    service: str
    kind: str
    priority: int
    forwarded: bool
    timeout: float
    start_within: float
    route_policy: list
    excluded: tuple[str, ...]
    penalized: tuple[str, ...]
    fingerprint: str
    software_version: str


class Placed(NamedTuple):
    """Grants a slot of a replica, or names the region to forward the call to.

    The unused one of `replica` and `region` is empty. `waited` is how many seconds the
    call waited for its slot; the other fields are those of calls.attempts.Target.
    """

    replica: str
    region: str
    waited: float
    prompt_tokens: int
    predicted_seconds: float
    requests: int


class CallProgress(NamedTuple):
    """Tells the coordinator how the call of a grant goes; it is sent as a Notice.

    `stage` is "head" when the replica began to answer, "survived" when it has gone on
    with a stream for some time, a value of calls.placement.AttemptFailure, or "ended".
    `value` is the number of requests that
    the replica reported, or at the end the seconds for which a complete call held its
    slot; -1 stands for none.
    """

    number: int
    stage: str
    value: float


class LinkClosing(NamedTuple):
    """Announces that the sender closes the link on purpose; it is sent as a Notice."""


class FeedRequest(NamedTuple):
    """Requests the changes of the store after a revision, as soon as there are some.

    `after` is a revision of `era`.

    It is answered by FeedChanges, or by Refuse if the receiver does not follow the
    store itself, no longer has these changes or knows another era.
    """

    era: int
    after: int


class FeedChanges(NamedTuple):
    """Changes of the store up to `revision`, all of one `era`.

    A row of `changes` holds a key, its value as bytes or None, and the revision of the
    change. `age` is the age of the store's last answer to the sender in seconds.
    """

    era: int
    changes: list
    revision: int
    age: float


class ManifestDocument(NamedTuple):
    """The document of the manifest in force on the sender, empty if there is none."""

    data: bytes


class RouteOffer(NamedTuple):
    """The header of a forwarded call of a route; answered by Accept or Refuse.

    `route_policy` lists the fields of core.types.RoutePolicy. `timeout` is the
    remaining time of the call and `start_within` the time that it may wait for a slot,
    both in seconds, as are `needed_within` and `run_seconds`, which say how long the
    receiver must stay (see core.types.Call). The call runs only at replicas with
    `software_version`, or at any if that is empty. The body follows without waiting for
    Accept. The answer begins with a RouteAnswerHead.
    """

    call_id: str
    service: str
    kind: str
    method: str
    path: str
    headers: Headers
    timeout: float
    priority: int
    hops: tuple[str, ...]
    resume_after: str
    route_policy: list
    start_within: float
    needed_within: float
    run_seconds: float
    software_version: str


class DrainNotice(NamedTuple):
    """Announces that a host drains; answered by the receiver's heartbeat message.

    That is a Pong, or a RouteHeartbeatReply between hosts that serve routes.
    """

    host: HostInfo


class Intent(NamedTuple):
    """Requests that the witness accept an attempt; answered by WitnessReply.

    `record` is the sender's record of the attempt.
    """

    record: list


class WitnessReply(NamedTuple):
    """The reply of a witness to Intent or OrderLookup.

    `record` is the record that the witness has, or empty. `outcome` and `reason` are
    those of a refusal, or empty.
    """

    record: list
    outcome: str
    reason: str


class OrderRecords(NamedTuple):
    """Order records for one incarnation of the receiver.

    They are a result, a closed intent or a part of a handover. The reply is
    OrderRecordsReply.
    """

    incarnation: str
    records: list


class OrderRecordsReply(NamedTuple):
    """The reply to OrderRecords: whether the receiver stored all of them."""

    stored: bool


class OrderLookup(NamedTuple):
    """Asks a witness for the record of an order; answered by WitnessReply.

    It is sent when the owner of the order is unresponsive.
    """

    order_id: str
    fingerprint: bytes


class ViewRequest(NamedTuple):
    """Requests the view of a host of the same failure domain; answered by ViewReply.

    `known_number` is the number of the sender's view.
    """

    known_number: int


class ViewReply(NamedTuple):
    """A view record as JSON, or "" if the sender has none that is newer."""

    text: str


class StreamsBegan(NamedTuple):
    """Tells at which software versions streams began; it is sent as a Notice.

    `scope` is a value of gateways.stream_origins.Scope and says to whom the receiver
    passes it on. A row of `groups` holds a service, a software version, the remaining
    seconds for which the streams are to be remembered, and the list of their ids. An id
    of hexadecimal digits is sent as the bytes that they encode. Both names are empty if
    the origins that were recorded for the streams differ.
    """

    scope: int
    groups: list


class StreamLookup(NamedTuple):
    """Asks at which software version a stream began; answered by StreamFound.

    With `other_regions`, the receiver may ask the coordinators of other regions.
    """

    stream_id: str
    other_regions: bool


class StreamFound(NamedTuple):
    """The reply to StreamLookup.

    `seconds` is the remaining time of the entry, 0 if the stream is unknown. Both names
    are empty if it is unknown, or if different origins were recorded. `region` is that
    of the host that had the entry.
    """

    service: str
    software_version: str
    seconds: int
    region: str


class AccessReport(NamedTuple):
    """Tells whether the sender reaches replicas; answered by the receiver's report.

    `lost` means that it reaches none of its region. A row of `hosts` holds the name and
    the incarnation of a host that reaches none, as far as the sender knows.
    """

    lost: bool
    hosts: list


class Request(NamedTuple):
    """The envelope of a request on a control link.

    `number` identifies it on the link; `body` is the array of a message.
    """

    number: int
    body: list


class Notice(NamedTuple):
    """The envelope of a message on a control link that gets no response."""

    body: list


class Response(NamedTuple):
    """The envelope of a response, with the number of its Request."""

    number: int
    body: list
