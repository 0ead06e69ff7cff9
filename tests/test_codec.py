"""The compatibility of the messages between hosts."""

from unittest import TestCase

from sassafraskeel.gateways.codec import MESSAGE_TYPES

# The count of fields by message number; it never changes for a number that was in use.
FIELD_COUNTS = {
    20: 13,
    23: 1,
    24: 2,
    40: 2,
    41: 5,
    61: 4,
    62: 12,
    63: 5,
    76: 11,
    85: 14,
    88: 12,
    89: 15,
    90: 3,
}


class CodecTest(TestCase):
    def test_fields_keep_their_number(self):
        """Guards against a new field in a message without a new message number.

        The heartbeat of routes got a fifth field under the number 61, which hosts
        with the earlier code would have refused.
        """
        for number, count in FIELD_COUNTS.items():
            message_type = MESSAGE_TYPES.get(number)
            if message_type is not None:
                self.assertEqual(
                    len(message_type._fields), count, message_type.__name__
                )
