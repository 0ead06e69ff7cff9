"""The configuration sheet: rows, parsing, validation, deltas and plans."""
