"""Reads all that hosts use of the store, page by page."""

from collections import deque
from typing import NamedTuple

import curio

from sassafraskeel.core.errors import HistoryLost, SassafraskeelError
from sassafraskeel.store.interface import UNREAD, Page, Store


class DocumentPrefixes(NamedTuple):
    """The prefixes of the keys of each kind of document.

    The manifest and the versions have one key each, which comes first of its prefix.
    """

    hosts: str
    manifest: str
    evacuations: str
    replicas: str
    versions: str
    crashes: str


class _Section(NamedTuple):
    """The part of a prefix that is still to be read, after the key `after`."""

    prefix: str
    after: str = ""


# The replicas have all but one of so many turns, since a host can't serve without them.
TURNS = 3
# More pages at once would hold more of long answers in memory.
EARLY_PAGES = 2
# Malformed entries must not keep a host from serving; the hosts of the plan have one
# page.
MAX_HOST_PAGES = 4


class StoreReading:
    """Reads the documents in the order in which a host needs them.

    The hosts come first, because they may have a newer manifest, and rates of replicas
    are shared with them; then the manifest and the evacuations. The other prefixes take
    turns, so that many or large documents of one kind do not keep the others back. A
    page that fails is read again, and those before it are not.

    `revision` is the earliest one of the first pages, from which the store is to be
    watched, because the pages are not one snapshot.
    """

    def __init__(self, store: Store, prefixes: DocumentPrefixes):
        self._store = store
        self._hosts = prefixes.hosts
        self._single = {prefixes.manifest, prefixes.versions}
        self._urgent = {prefixes.hosts, prefixes.manifest, prefixes.evacuations}
        self._awaited = {prefixes.replicas, *self._urgent}
        first = (prefixes.hosts, prefixes.manifest, prefixes.evacuations)
        self._first = deque(_Section(prefix) for prefix in first)
        self._replicas = deque((_Section(prefixes.replicas),))
        others = (prefixes.versions, prefixes.crashes)
        self._others = deque(_Section(prefix) for prefix in others)
        self._turn = 0
        self._has_begun = False
        self._early_pages: dict[str, Page] = {}
        self.revision = UNREAD
        self.pages = self.items = self.failures = 0

    @property
    def is_usable(self) -> bool:
        """Return whether a host may serve by what was read.

        It knows the manifest, all evacuations, the hosts of MAX_HOST_PAGES pages, and a
        page of the replicas.
        """
        return not self._awaited

    @property
    def has_read_hosts(self) -> bool:
        """Return whether all hosts have been read."""
        sections = (*self._first, *self._others)
        return all(section.prefix != self._hosts for section in sections)

    @property
    def is_complete(self) -> bool:
        """Return whether all documents have been read."""
        return not (self._first or self._replicas or self._others)

    async def read_page(self) -> Page:
        """Return the next page; raise PlatformUnavailable or PlatformRefused.

        Raises HistoryLost if the store was restored since the first page.
        """
        if not self._has_begun:
            self._has_begun = True
            await self._read_early_pages()
        sections = self._take_turn()
        section = sections[0]
        page = self._early_pages.pop(section.prefix, None)
        try:
            page = page or await self._store.read_page(*section)
        except SassafraskeelError:
            self.failures += 1
            sections.rotate(-1)
            raise
        if self.revision is UNREAD:
            self.revision = page.revision
        elif page.revision.era != self.revision.era:
            raise HistoryLost(*self.revision)
        self.pages += 1
        self.items += len(page.changes)
        sections.popleft()
        is_last = not page.next_after or section.prefix in self._single
        if not is_last:
            self._add_rest(section._replace(after=page.next_after), sections)
        if is_last or self._is_enough(section.prefix):
            self._awaited.discard(section.prefix)
        return page

    def forget_early_pages(self) -> None:
        """Have pages that were read early read again, since changes came after them."""
        self._early_pages.clear()

    def _is_enough(self, prefix: str) -> bool:
        """Return whether a host may serve before the rest of a prefix is read."""
        if prefix == self._hosts:
            return self.pages >= MAX_HOST_PAGES
        return prefix not in self._urgent

    async def _read_early_pages(self) -> None:
        """Read the first pages that a host needs to serve, two at a time.

        A store in another region takes 160 ms for each. Those that fail are read in
        their turn.
        """
        prefixes = [section.prefix for section in (*self._first, *self._replicas)]
        for start in range(0, len(prefixes), EARLY_PAGES):
            if self.failures:
                break
            async with curio.TaskGroup() as group:
                for prefix in prefixes[start : start + EARLY_PAGES]:
                    await group.spawn(self._read_early_page, prefix)
        pages = self._early_pages.values()
        self.revision = min((page.revision for page in pages), default=UNREAD)

    async def _read_early_page(self, prefix: str) -> None:
        try:
            self._early_pages[prefix] = await self._store.read_page(prefix)
        except SassafraskeelError:
            self.failures += 1

    def _take_turn(self) -> deque[_Section]:
        """Return the sections of which the first one is next."""
        if self._first:
            return self._first
        self._turn = (self._turn + 1) % TURNS
        if self._replicas and (self._turn or not self._others):
            return self._replicas
        return self._others or self._replicas

    def _add_rest(self, section: _Section, sections: deque[_Section]) -> None:
        if section.prefix == self._hosts and self._is_enough(section.prefix):
            self._others.append(section)
        elif section.prefix in self._urgent:
            sections.appendleft(section)
        else:
            sections.append(section)
