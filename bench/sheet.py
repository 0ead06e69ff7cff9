"""Measures the processor time and memory of parsing a sheet, by its number of rows.

Run `python -m bench.sheet`.
"""

import time
import tracemalloc

from sassafraskeel.sheets.parse import RowCache, parse_sheet

ROW_COUNTS = (300, 1000, 2700, 5400)
ROUNDS = 3
DOMAINS = 70
REGIONS = 23
SERVICES = 24
HEADER = "kind,name,domain,address,service,type,regions,home,model,slots,price,until"


def sheet_text(rows: int) -> str:
    """Return a sheet with `rows` rows of workspaces (a third) and upstreams."""
    lines = [HEADER]
    for number in range(DOMAINS):
        lines.append(f"domain,zone-{number},,,,,region-{number % REGIONS},,,,,")
    regions = " ".join(f"region-{number}" for number in range(REGIONS))
    for number in range(SERVICES):
        lines.append(f"service,chat-{number},,,,model,{regions},,model-{number},,,")
    for number in range(rows):
        zone = f"zone-{number % DOMAINS}"
        region = f"region-{number % DOMAINS % REGIONS}"
        service = f"chat-{number % SERVICES}"
        if number % 3:
            address = f"127.0.{number // 250}.{number % 250}:8000"
            lines.append(
                f"upstream,replica-{number},{zone},{address},{service},,,,,8,1.0,"
            )
        else:
            lines.append(f"workspace,shop-{number},,,,,{region},{zone},,,,")
    return "\n".join(lines) + "\n"


def measure(rows: int) -> None:
    """Measure a sheet with `rows` rows and print one line."""
    text = sheet_text(rows)
    started = time.process_time()
    for _ in range(ROUNDS):
        parse_sheet(text, "bench")
    seconds = (time.process_time() - started) / ROUNDS
    cache = RowCache()
    parse_sheet(text, "bench", cache=cache)
    changed = text.replace("replica-1,", "replica-one,")
    started = time.process_time()
    for reparsed_text in (changed, text, changed):
        parse_sheet(reparsed_text, "bench", cache=cache)
    reparse_seconds = (time.process_time() - started) / 3
    tracemalloc.start()
    sheet = parse_sheet(text, "bench")
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del sheet
    print(
        f"{rows:>6} {len(text) / 1000:>8.0f} {1000 * seconds:>9.1f}"
        f" {1000 * reparse_seconds:>9.1f} {memory / 2**20:>8.2f}",
        flush=True,
    )


def main() -> None:
    """Print the table."""
    print(f"{'rows':>6} {'kB':>8} {'first ms':>9} {'again ms':>9} {'MB':>8}")
    for rows in ROW_COUNTS:
        measure(rows)


if __name__ == "__main__":
    main()
