"""The sheet in force on a host and its earlier versions."""

from collections import OrderedDict

from sassafraskeel.core.errors import InvalidInput
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.decisions.precedence import Lineage, Stamp, merge_lineages, stamp
from sassafraskeel.sheets.delta import make_delta, pack_delta
from sassafraskeel.sheets.model import Sheet
from sassafraskeel.sheets.parse import RowCache, compute_digest, parse_sheet

# Earlier texts are kept as bases of deltas: at most 20 texts of 0.9 MB.
MAX_KEPT_TEXTS = 20
NO_STAMP = Stamp(0, "")


class InstalledSheet:
    """The sheet in force on the local host; its version never decreases."""

    def __init__(self, log: LogSink):
        self._log = log
        self._texts: OrderedDict[Stamp, str] = OrderedDict()
        self._row_cache = RowCache()
        self._deltas: dict[Stamp, bytes] = {}
        self.current: Sheet | None = None
        self.lineage: Lineage = ()
        self.rejected = NO_STAMP

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first sheet."""
        return self.current.version if self.current else 0

    @property
    def stamp(self) -> Stamp:
        """Return the stamp of the sheet in force."""
        return self.lineage[-1] if self.lineage else NO_STAMP

    def get(self) -> Sheet | None:
        """Return the sheet in force."""
        return self.current

    def should_install(self, version: int, digest: str = "") -> bool:
        """Return whether a sheet is newer than the installed one and not rejected.

        Without a digest, all versions up to the rejected one count as rejected. A
        restored store gives the rejected version to another sheet.
        """
        if not digest:
            return version > max(self.version, self.rejected.version)
        return version > self.version and stamp(version, digest) != self.rejected

    def install(
        self, version: int, text: str, source: str, lineage: Lineage = ()
    ) -> bool:
        """Put a sheet in force if it is newer; return whether it was installed.

        A sheet that this version of the code cannot read is rejected, and the current
        one stays in force.
        """
        if version <= self.version:
            return False
        try:
            sheet = parse_sheet(text, f"version {version}", version, self._row_cache)
        except InvalidInput as exc:
            if version >= self.rejected.version:
                self.rejected = stamp(version, compute_digest(text))
            detail = "; ".join(map(str, exc.faults[:3]))
            self._log.emit(
                Event.SHEET_REJECTED,
                version=version,
                source=source,
                faults=len(exc.faults),
                detail=detail,
            )
            return False
        new_stamp = stamp(version, sheet.digest)
        older = (item for item in lineage if item.version < version)
        self.lineage = merge_lineages(self.lineage, tuple(older), (new_stamp,))
        self.current = sheet
        self._texts[new_stamp] = text
        while len(self._texts) > MAX_KEPT_TEXTS:
            self._texts.popitem(last=False)
        self._deltas.clear()
        self._log.emit(Event.SHEET_INSTALLED, version=version, source=source)
        return True

    def text_of(self, base: Stamp) -> str | None:
        """Return the text of a version that was in force on the local host, or None."""
        return self._texts.get(base)

    def delta_from(self, base: Stamp) -> bytes | None:
        """Return the packed delta to the sheet in force, None if `base` is not kept."""
        old = self._texts.get(base)
        if old is None or self.current is None:
            return None
        if base not in self._deltas:
            self._deltas[base] = pack_delta(make_delta(old, self.current.text))
        return self._deltas[base]

    def lineage_after(self, base: Stamp) -> Lineage:
        """Return the part of the lineage that is newer than `base`."""
        return tuple(item for item in self.lineage if item.version > base.version)
