"""Parsing of sheets, and plans and deltas between two sheets."""

import json
import zlib
from unittest import TestCase

from hypothesis import example, given, settings, strategies as st

from sassafraskeel.core.errors import HomeMoved, InvalidInput, ProtocolError
from sassafraskeel.sheets.delta import (
    apply_delta,
    make_delta,
    pack_delta,
    unpack_delta,
    unpack_text,
)
from sassafraskeel.sheets.model import Sheet
from sassafraskeel.sheets.parse import (
    COLUMNS,
    ROW_MODELS,
    compute_digest,
    decode_sheet,
    parse_sheet,
)
from sassafraskeel.sheets.plan import check_plan, plan_change

CELLS = st.one_of(
    st.sampled_from(("", "a", "b", "r", "r q", "plain", "model", "nan", "1e999", "-1")),
    st.sampled_from(("127.0.0.1:1", "1:²", "a:99999", "2026-01-01", "0001-01-01", '"')),
    st.text(max_size=6),
)
TABLES = st.lists(
    st.lists(st.one_of(st.sampled_from(tuple(ROW_MODELS)), CELLS), max_size=9),
    max_size=8,
)
LINES = st.lists(
    st.sampled_from(["", "a", "b", "upstream,u,x", "é\r", "#"]), max_size=9
)
JSON = st.recursive(
    st.one_of(st.integers(), st.text(max_size=3), st.none()),
    lambda inner: st.lists(inner, max_size=3),
)
TEXTS = st.one_of(LINES.map("\n".join), st.text(max_size=40))
SHEET = """kind,name,regions,home,type,domain,address,service
domain,a,r
domain,b,q
service,desk,r q,,plain
service,kept,r q,b,plain
workspace,w,r q,a
upstream,u1,,,,a,127.0.0.1:1,desk
upstream,u2,,,,a,127.0.0.1:2,kept
"""


def compress(content):
    return zlib.compress(json.dumps(content).encode())


class ParseTest(TestCase):
    @settings(max_examples=50)
    @given(st.one_of(st.binary(max_size=60), TABLES))
    @example([["upstream", "u", "a", "1:²", "s"]])
    @example([["kind"] * 3])
    def test_any_input(self, data):
        """Guards against input that ends in another error than InvalidInput."""
        if isinstance(data, list):
            rows = "\n".join(",".join(row) for row in data)
            text = f"{','.join(COLUMNS[: len(COLUMNS) // 2])}\n{rows}"
            data = text.encode(errors="surrogatepass")
        try:
            sheet = parse_sheet(decode_sheet(data, "f"), "f")
        except InvalidInput as exc:
            self.assertTrue(exc.faults)
        else:
            self.assertIsInstance(sheet, Sheet)

    def test_nearest_names(self):
        """Guards against faults without the line, the key or the allowed values."""
        text = SHEET.replace("regions", "regoins").replace("kept", "kpet", 1)
        with self.assertRaises(InvalidInput) as caught:
            parse_sheet(text, "f.csv")
        self.assertIn("did you mean 'regions'", str(caught.exception))
        text = SHEET.replace("workspace,w", "wrkspace,w")
        with self.assertRaises(InvalidInput) as caught:
            parse_sheet(text.replace("a,127.0.0.1:2", "c,127.0.0.1:2"), "f.csv")
        positions = [(fault.line, fault.key) for fault in caught.exception.faults]
        self.assertEqual(positions, [(6, "kind"), (8, "upstream.domain")])
        self.assertIn("'workspace'", caught.exception.faults[0].allowed)


class PlanTest(TestCase):
    def test_moved_home(self):
        """Guards against a moved home, which would give an order two owners."""
        old = parse_sheet(SHEET, "old")
        moves = {
            "q,a": "q,b",  # The home of the workspace, which service desk inherits.
            "kept,r q,b": "kept,r q,a",
            "kept,r q,b,": "kept,r q,,",
        }
        for before, after in moves.items():
            with self.subTest(before):
                new = parse_sheet(SHEET.replace(before, after), "new")
                with self.assertRaises(HomeMoved):
                    check_plan(plan_change(old, new), allow_empty=True)


class DeltaTest(TestCase):
    @settings(max_examples=50)
    @given(TEXTS, TEXTS)
    def test_apply_reproduces(self, old, new):
        """Guards against a host whose text differs from the accepted one."""
        delta = unpack_delta(pack_delta(make_delta(old, new)))
        self.assertEqual(apply_delta(old, delta, compute_digest(new)), new)

    @settings(max_examples=50)
    @given(TEXTS, TEXTS, TEXTS)
    def test_wrong_base(self, old, other, new):
        """Guards against a delta that is applied to another text than its base."""
        delta = make_delta(old, new)
        try:
            self.assertEqual(apply_delta(other, delta, compute_digest(new)), new)
        except ProtocolError:
            self.assertNotEqual(other, old)

    @settings(max_examples=50)
    @given(st.one_of(st.binary(max_size=30), JSON.map(compress)))
    def test_malformed(self, data):
        """Guards against bytes of a peer that end in an untyped error."""
        with self.assertRaises(ProtocolError):
            apply_delta("a\nb", unpack_delta(data), "")
        with self.assertRaises(ProtocolError):
            unpack_text(data, "")
