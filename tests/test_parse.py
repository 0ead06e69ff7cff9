"""Parsing of sheets with cached rows of the previous sheet."""

from unittest import TestCase

from hypothesis import given, strategies as st

from sassafraskeel.core.errors import InvalidInput
from sassafraskeel.sheets.parse import RowCache, parse_sheet

HEADERS = ("kind,name,regions,home,domain,address,service,slots,type",)
OTHER_HEADER = "kind,name,home,regions,domain,address,service,slots,type"
ROWS = (
    "domain,fes-a,fes,,,,,,",
    "domain,fes-a,casa,,,,,,",
    "domain,casa-a,casa,,,,,,",
    "service,chat,fes casa,,,,,,model",
    "service,chat,fes,,,,,,plain",
    "workspace,shop,fes,fes-a,,,,,",
    "workspace,shop,casa,casa-a,,,,,",
    "upstream,one,,,fes-a,127.0.0.1:9000,chat,8,",
    "upstream,one,,,casa-a,127.0.0.1:9001,chat,4,",
    "upstream,two,,,fes-a,127.0.0.1:nine,chat,8,",
    "link,fes-a/casa-a,,,,,,,",
)


def parse_or_faults(text, cache):
    """Return the sheet, or its faults if it is not valid."""
    try:
        return parse_sheet(text, "sheet", cache=cache)
    except InvalidInput as exc:
        return exc.faults


class RowCacheTest(TestCase):
    @given(
        st.lists(
            st.tuples(
                st.sampled_from((*HEADERS, OTHER_HEADER)),
                st.lists(st.sampled_from(ROWS), max_size=8),
            ),
            max_size=5,
        )
    )
    def test_same_as_without_cache(self, sheets):
        """Guards against a row of an older sheet, or a fault that is passed over."""
        cache = RowCache()
        for header, rows in sheets:
            text = "\n".join((header, *rows)) + "\n"
            self.assertEqual(parse_or_faults(text, cache), parse_or_faults(text, None))
