"""A part of a prompt crashes replicas after their first event, again and again."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from deadly_prompts import (
    EXCUSED_SECONDS,
    STABLE_WINDOW_SECONDS,
    Callers,
    Trouble,
    share_of_begun,
    start_deployment,
)
from standins import Deployment, run_case, trouble_enabled

SOUND_PER_SECOND, DEADLY_PER_SECOND = 3.0, 2.0
BEFORE_SECONDS, AFTER_SECONDS = 10.0, 30.0
# More than three requests with the part that still reach replicas break the rule.
MAX_LATE_ARRIVALS = 3


async def case(deployment: Deployment) -> bool:
    """Return whether the deadly requests were kept from the replicas in time."""
    record = deployment.record
    trouble = Trouble(has_event=True)
    await start_deployment(deployment, trouble)
    callers = Callers(deployment, trouble)
    before, after, deadly = [], [], []
    await callers.send_all(SOUND_PER_SECOND, BEFORE_SECONDS, False, before)
    sending = [callers.send_all(SOUND_PER_SECOND, AFTER_SECONDS, False, after)]
    if trouble_enabled():
        record.write("the deadly requests begin")
        sending.append(callers.send_all(DEADLY_PER_SECOND, AFTER_SECONDS, True, deadly))
    await asyncio.gather(*sending)
    await callers.join()
    fifth = trouble.fifth_crash()
    late = [at for at in trouble.deadly_arrivals if at > fifth + STABLE_WINDOW_SECONDS]
    counted = [item for item in after if item[0] >= fifth + EXCUSED_SECONDS]
    sound = {key for key in callers.statuses if key.startswith("fine")}
    lost = [key for key in sound & trouble.begun if callers.statuses[key] != 200]
    record.write(f"{len(deadly)} deadly requests, {len(trouble.crashes)} crashes")
    record.write(f"{len(late)} reached replicas over 6 s after the fifth crash")
    record.write(
        f"{share_of_begun(before):.3f} of {len(before)} sound ones began before"
    )
    record.write(f"{share_of_begun(counted):.3f} of {len(counted)} began from 12 s on")
    record.write(f"{len(lost)} sound streams of {len(sound)} began and were lost")
    if share_of_begun(before) < 1.0:
        raise RuntimeError("sound requests were not served before the trouble")
    return len(late) <= MAX_LATE_ARRIVALS


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent / "record.txt")
