"""The handover of order records to the members of the next view."""

from sassafraskeel.decisions.ledger import OrderRecord
from sassafraskeel.decisions.orders import OrderContext, records_to_hand_over
from sassafraskeel.gateways.orders import OrderExchange

MAX_BATCH_RECORDS = 200
MAX_BATCH_BYTES = 512 * 1024


async def hand_over(context: OrderContext, exchange: OrderExchange) -> None:
    """Stop new intents and dispatches, and send order records to the next members.

    Each member of the next view gets the records that it will own or witness. Raises
    SassafraskeelError unless every member confirms all of them.
    """
    context.view_state.freeze()
    for incarnation, records in records_to_hand_over(context).items():
        for batch in _batches(records):
            await exchange.send(incarnation, batch)


def _batches(records: list[OrderRecord]):
    batch, size = [], 0
    for record in records:
        length = len(record.answer.body) if record.answer else 0
        if batch and (
            len(batch) >= MAX_BATCH_RECORDS or size + length > MAX_BATCH_BYTES
        ):
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += length
    if batch:
        yield batch
