"""Splits long answers of the store into their items while they arrive."""

import codecs
import json
import re

from sassafraskeel.core.errors import AnswerTooLong, ProtocolError

# An item has a value of up to 1 MiB as base64, 1.4 million characters; this bounds what
# is held of an answer.
MAX_ITEM_CHARS = 2 * 1024 * 1024
FIELD = re.compile(r'\s*[{,]\s*("(?:[^"\\]|\\.)*")\s*:\s*')
END = re.compile(r"\s*\{?\s*\}")
SEPARATOR = re.compile(r"\s*,?\s*")


class ItemReader:
    """Parses a JSON object with a list of objects, of which one is held at a time.

    `fields` are the other fields of the object.
    """

    def __init__(self, list_name: str):
        self._list_name = list_name
        self._utf8 = codecs.getincrementaldecoder("utf-8")()
        self._decoder = json.JSONDecoder()
        self._parts: list[str] = []
        self._size = 0
        self._in_list = False
        self._has_ended = False
        self.fields: dict[str, object] = {}

    def feed(self, data: bytes) -> list[dict]:
        """Return the items that a part of the answer completes.

        Raise ProtocolError, or AnswerTooLong if an item has over MAX_ITEM_CHARS.
        """
        try:
            part = self._utf8.decode(data)
        except UnicodeDecodeError as exc:
            raise ProtocolError("the answer of the store is not UTF-8") from exc
        self._parts.append(part)
        self._size += len(part)
        if self._in_list and "}" not in part and "]" not in part:
            items = []  # Most parts lie within a value.
        else:
            items = self._parse("".join(self._parts))
        if self._size > MAX_ITEM_CHARS:
            raise AnswerTooLong("an item of the store is too long")
        return items

    def finish(self) -> None:
        """Raise ProtocolError unless the answer is complete."""
        if not self._has_ended or "".join(self._parts).strip():
            raise ProtocolError("the answer of the store is not a JSON object")

    def _parse(self, text: str) -> list[dict]:
        """Take what is complete off the text, and keep the rest."""
        items: list[dict] = []
        position = 0
        while not self._has_ended:
            parse = self._parse_item if self._in_list else self._parse_field
            try:
                end = parse(text, position, items)
            except (json.JSONDecodeError, RecursionError):
                break  # The value has not arrived as a whole.
            except ValueError as exc:
                raise ProtocolError("a number of the store is too long") from exc
            if end is None:
                break
            position = end
        rest = text[position:]
        self._parts, self._size = [rest], len(rest)
        return items

    def _parse_item(self, text: str, position: int, items: list[dict]) -> int:
        """Return the end of the item or list at a position."""
        start = SEPARATOR.match(text, position).end()
        if text.startswith("]", start):
            self._in_list = False
            return start + 1
        item, end = self._decoder.raw_decode(text, start)
        if not isinstance(item, dict):
            raise ProtocolError("an item of the store is not an object")
        items.append(item)
        return end

    def _parse_field(self, text: str, position: int, items: list[dict]) -> int | None:
        """Return the end of the field or object at a position, None without one."""
        match = FIELD.match(text, position)
        if match is None:
            end = END.match(text, position)
            self._has_ended = end is not None
            return end and end.end()
        start = match.end()
        if start == len(text):
            return None
        name = json.loads(match[1])
        if name == self._list_name:
            if text[start] != "[":
                raise ProtocolError(f"{name} is not a list")
            self._in_list = True
            return start + 1
        value, end = self._decoder.raw_decode(text, start)
        if end == len(text):
            return None  # More digits of a number may follow.
        self.fields[name] = value
        return end
