"""Messages between the hosts of a view: promises, intents, results and lookups."""

import json
from typing import NamedTuple

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ConnectionLost,
    Outcome,
    ProtocolError,
    Reason,
    Refusal,
)
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.ledger import (
    Attempt,
    AttemptState,
    OrderRecord,
    StoredAnswer,
)
from sassafraskeel.decisions.orders import (
    OrderContext,
    look_up_as_witness,
    witness_intent,
)
from sassafraskeel.decisions.ownership import OrderId, parse_order_id
from sassafraskeel.decisions.views import ViewMember, from_json, to_json
from sassafraskeel.gateways.codec import Headers, decode_field
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.messages import (
    Intent,
    OrderLookup,
    OrderRecords,
    OrderRecordsReply,
    Ping,
    Pong,
    ViewReply,
    ViewRequest,
    WitnessReply,
)

REQUEST_TIMEOUT_SECONDS = 1.0


class ViewPromise(NamedTuple):
    """The fields of a Pong that concern the view."""

    view_number: int
    promised: bool


def view_member(host: HostInfo) -> ViewMember:
    """Return the view member that stands for a host."""
    return ViewMember(host.name, host.incarnation, str(host.gateways))


class OrderExchange:
    """Sends and answers messages on orders within the local failure domain."""

    def __init__(
        self, domain: str, context: OrderContext, links: LinkManager, clock: Clock
    ):
        self._domain = domain
        self._context = context
        self._links = links
        self._clock = clock
        links.on_request(Intent, self._answer_intent)
        links.on_request(OrderRecords, self._answer_records)
        links.on_request(OrderLookup, self._answer_lookup)
        links.on_request(ViewRequest, self._answer_view_request)
        links.add_pong_listener(self._on_pong)

    def answer_ping(self, peer: HostInfo, ping: Ping) -> ViewPromise:
        """Return the number of the local view and whether a promise is given.

        Hosts of other failure domains get no view number and no promise.
        """
        if peer.domain != self._domain:
            return ViewPromise(0, False)
        view_state = self._context.view_state
        now = self._clock.monotonic()
        promised = view_state.give_promise(peer.incarnation, ping.view_number, now)
        return ViewPromise(view_state.number, promised)

    async def record_intent(
        self, witness: str, record: OrderRecord
    ) -> OrderRecord | None:
        """Request that a witness accept an attempt; return the record that forbids it.

        Returns None if the witness accepted the attempt. Raises Refusal if the witness
        refused, and another SassafraskeelError if there was no valid reply.
        """
        message = Intent(record_to_wire(record, self._clock.monotonic()))
        return self._decode_reply(await self._request(witness, message))

    async def look_up(
        self, witness: str, order: OrderId, fingerprint: bytes
    ) -> OrderRecord | None:
        """Return the record of an order that a witness has.

        Raises Refusal if the witness refused, and another SassafraskeelError if there
        was no valid reply.
        """
        message = OrderLookup(order.text, fingerprint)
        return self._decode_reply(await self._request(witness, message))

    async def send(self, incarnation: str, records: list[OrderRecord]) -> None:
        """Send records to a host.

        Raises SassafraskeelError unless the host confirms that it stored all of them.
        """
        now = self._clock.monotonic()
        encoded = [record_to_wire(record, now) for record in records]
        reply = await self._request(incarnation, OrderRecords(incarnation, encoded))
        if not isinstance(reply, OrderRecordsReply) or not reply.stored:
            raise ProtocolError("the peer did not store the order records")

    async def _request(self, incarnation: str, message: NamedTuple) -> NamedTuple:
        for link in self._links.links():
            if link.peer.incarnation == incarnation:
                return await link.request(message, REQUEST_TIMEOUT_SECONDS)
        raise ConnectionLost("there is no control link to the host")

    def _decode_reply(self, reply: NamedTuple) -> OrderRecord | None:
        if not isinstance(reply, WitnessReply):
            raise ProtocolError("unexpected reply from a witness")
        if reply.outcome:
            if reply.outcome not in set(Outcome) or reply.reason not in set(Reason):
                raise ProtocolError(
                    "a witness refused with an unknown outcome or reason"
                )
            raise Refusal(Outcome(reply.outcome), Reason(reply.reason), "", 1.0)
        if not reply.record:
            return None
        return record_from_wire(reply.record, self._clock.monotonic())

    async def _on_pong(self, link: ControlLink, pong: Pong) -> None:
        if link.peer.domain != self._domain:
            return
        view_state = self._context.view_state
        now = self._clock.monotonic()
        peer = view_member(link.peer)
        view_state.record_heartbeat_answer(
            peer, pong.view_number, pong.promised, link.pinged_at, now
        )
        if pong.view_number > view_state.number:
            reply = await link.request(
                ViewRequest(view_state.number), REQUEST_TIMEOUT_SECONDS
            )
            view = parse_view(reply)
            if view is not None and view.number > view_state.number:
                view_state.update_view(view, self._clock.monotonic())

    async def _answer_intent(self, peer: HostInfo, intent: Intent) -> WitnessReply:
        now = self._clock.monotonic()
        record = record_from_wire(intent.record, now)
        try:
            conflicting_record = witness_intent(
                self._context, peer.incarnation, record, now
            )
        except Refusal as refusal:
            return _refusal_reply(refusal)
        return WitnessReply(
            record_to_wire(conflicting_record, now) if conflicting_record else [],
            "",
            "",
        )

    async def _answer_lookup(self, peer: HostInfo, lookup: OrderLookup) -> WitnessReply:
        now = self._clock.monotonic()
        try:
            order = parse_order_id(lookup.order_id)
            record = look_up_as_witness(self._context, order, lookup.fingerprint, now)
        except Refusal as refusal:
            return _refusal_reply(refusal)
        return WitnessReply(record_to_wire(record, now), "", "")

    async def _answer_records(
        self, peer: HostInfo, message: OrderRecords
    ) -> OrderRecordsReply:
        if message.incarnation != self._context.view_state.local_member.incarnation:
            return OrderRecordsReply(False)
        now = self._clock.monotonic()
        try:
            for encoded in message.records:
                self._context.ledger.merge(record_from_wire(encoded, now))
        except Refusal:
            # The ledger is full; the sender keeps its records.
            return OrderRecordsReply(False)
        return OrderRecordsReply(True)

    async def _answer_view_request(
        self, peer: HostInfo, request: ViewRequest
    ) -> ViewReply:
        view = self._context.view_state.view
        if (
            peer.domain != self._domain
            or view is None
            or view.number <= request.known_number
        ):
            return ViewReply("")
        return ViewReply(view_to_json(view))


def view_to_json(view) -> str:
    """Return a view as JSON without its proposed change, which may be outdated."""
    return json.dumps(to_json(view._replace(next=None)))


def parse_view(reply: NamedTuple):
    """Return the view in a reply, or None; raise ProtocolError if it is malformed."""
    if not isinstance(reply, ViewReply):
        raise ProtocolError("unexpected reply to a view request")
    try:
        return from_json(json.loads(reply.text or "null"))
    except json.JSONDecodeError as exc:
        raise ProtocolError("a view is not JSON") from exc


def _refusal_reply(refusal: Refusal) -> WitnessReply:
    return WitnessReply([], refusal.outcome.value, refusal.reason.value)


def record_to_wire(record: OrderRecord, now: float) -> list:
    """Return the array that encodes a record.

    It contains the age of the record in seconds, because monotonic clocks of hosts
    differ.
    """
    answer = record.answer
    return [
        record.order_id,
        record.fingerprint,
        *record.attempt,
        int(record.state),
        now - record.created,
        [answer.status, answer.headers, answer.body, answer.body_stored]
        if answer
        else [],
    ]


def record_from_wire(wire, now: float) -> OrderRecord:
    """Return the record in an array; raise ProtocolError if it is malformed."""
    field_types = (str, bytes, int, int, int, float, list)
    if not isinstance(wire, list) or len(wire) != len(field_types):
        raise ProtocolError("an order record has a wrong number of fields")
    order_id, fingerprint, view_number, count, state, age, encoded_answer = map(
        decode_field, wire, field_types
    )
    if state not in set(AttemptState) or len(encoded_answer) not in (0, 4):
        raise ProtocolError(
            "an order record has an unknown state or a malformed answer"
        )
    answer = None
    if encoded_answer:
        answer = StoredAnswer(
            *map(decode_field, encoded_answer, (int, Headers, bytes, bool))
        )
    attempt = Attempt(view_number, count)
    return OrderRecord(
        order_id, fingerprint, attempt, AttemptState(state), now - age, answer
    )
