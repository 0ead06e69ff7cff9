"""Streams are taken up after a manifest has split their route (LOST)."""

import os
import sys
import time
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (
    Caller,
    Deployment,
    Record,
    free_port,
    main,
    manifest,
    run_all,
    trouble,
)

ZONE = "fes-a"
CHAT = {
    "name": "chat",
    "pathPrefix": "/chat/",
    "kind": "streaming",
    "service": "first",
    "canResume": True,
}
SPLIT = CHAT | {
    "trafficSplit": [
        {"service": "first", "weight": 20},
        {"service": "second", "weight": 80},
    ]
}
SERVICES = [{"name": "first"}, {"name": "second"}]
STREAMS = 30
PIECES = 40
GAP_SECONDS = 0.25


def play(record: Record) -> list[str]:
    """Play the case and return how the rule was broken."""
    with Deployment(record, (ZONE,)) as deployment:
        store = deployment.store
        store.put_json("op/config", manifest(1, [CHAT], SERVICES))
        for service in ("first", "second"):
            for number in (1, 2):
                deployment.start_replica(
                    f"{service}-{number}",
                    port=free_port(),
                    service=service,
                    zone=ZONE,
                    pieces=PIECES,
                    gap=GAP_SECONDS,
                )
        for name in ("host-1", "host-2", "host-3"):
            deployment.start_host(name, ZONE)
        deployment.wait_ready()
        time.sleep(8.0)
        caller = Caller(record)
        begun, taken_up, new = {}, {}, {}

        def begin(number):
            request_id = f"stream-{number}"
            begun[request_id] = caller.send(
                deployment.hosts["host-1"]["front"],
                "POST",
                "/chat/begin",
                request_id,
                deadline=15.0,
            )
            answer = begun[request_id]
            if answer.complete or not answer.events():
                return
            headers = {
                "Last-Event-Id": str(answer.events()[-1][0]),
                "Resumes": request_id,
            }
            for attempt in ("again", "once-more"):
                left = 15.0 - (time.monotonic() - answer.sent_at)
                again = f"{attempt}-{number}"
                taken_up[number] = caller.send(
                    deployment.hosts["host-2"]["front"],
                    "POST",
                    "/chat/begin",
                    again,
                    deadline=left,
                    headers=headers,
                )
                if taken_up[number].status != 503:
                    break
                # Clients wait as told, and try a refused request once more.
                wait = float(taken_up[number].headers.get("retry-after", 0))
                time.sleep(min(wait, left / 3))

        def begin_new(number):
            time.sleep(3.6)
            request_id = f"new-{number}"
            new[request_id] = caller.send(
                deployment.hosts["host-2"]["front"],
                "POST",
                "/chat/begin",
                request_id,
                deadline=15.0,
            )

        def disturb():
            time.sleep(2.0)
            if trouble():
                record.add("the operator splits the route: 20 first, 80 second")
                store.put_json("op/config", manifest(2, [SPLIT], SERVICES))
            time.sleep(1.5)
            if trouble() or os.environ.get("KILL"):
                deployment.kill("host-1")

        functions = [partial(begin, number) for number in range(STREAMS)]
        functions += [partial(begin_new, number) for number in range(12)]
        run_all([*functions, disturb])
        return list(find_problems(record, taken_up, new))


def find_problems(record, taken_up, new):
    """Yield a problem if too few of the streams that were taken up went on."""
    went_on = sum(bool(answer.events()) for answer in taken_up.values())
    began = sum(bool(answer.events()) for answer in new.values())
    record.add(
        f"{went_on} of {len(taken_up)} streams that were taken up went on, "
        f"{began} of {len(new)} new streams began"
    )
    if len(taken_up) < 12:
        return
    if went_on / len(taken_up) < 0.5 * began / len(new):
        yield (
            f"{went_on} of {len(taken_up)} streams that were taken up went on, and "
            f"{began} of {len(new)} new ones began"
        )


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent / "record.txt")
