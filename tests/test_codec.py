"""The messages between hosts as they travel."""

from unittest import TestCase

from sassafraskeel.gateways.codec import MESSAGE_TYPES

# Fields by number; a number that was in use keeps its fields for ever.
FIELDS = {
    20: 13,
    23: 1,
    24: 2,
    40: 2,
    41: 5,
    61: 4,
    62: 12,
    63: 5,
}


class CodecTest(TestCase):
    def test_fields_keep_their_number(self):
        """Guards against a new field in a message that other hosts know by its number.

        The heartbeat of routes got a fifth field under the number 61.
        """
        for number, count in FIELDS.items():
            kind = MESSAGE_TYPES.get(number)
            if kind is not None:
                self.assertEqual(len(kind._fields), count, kind.__name__)
