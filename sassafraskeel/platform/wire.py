"""Names of the platform's headers, paths and keys."""

PREFIX = "x-sassafraskeel-"

REQUEST_ID = b"x-sassafraskeel-request-id"
# The remaining time in milliseconds, not a point in time.
REMAINING_MS = b"x-sassafraskeel-deadline-ms"
PROMPT_PARTS = b"x-sassafraskeel-prompt-prefix"
TOKEN_COUNTS = b"x-sassafraskeel-token-count"
MODEL = b"x-sassafraskeel-model"
# The replica's signature of its answer.
RESPONSE_SIGNATURE = b"x-sassafraskeel-response-stamp"
# From 0 (most urgent) to 9.
PRIORITY = b"x-sassafraskeel-request-priority"
EXPECTED_REPLICA = b"x-sassafraskeel-expect-instance"
# The id of the replica that answers a health check.
REPLICA_ID = b"x-sassafraskeel-instance-id"
NOT_EXECUTED = b"x-sassafraskeel-not-executed"
# The running requests, the queued requests and the slots, separated by commas.
REPLICA_LOAD = b"x-sassafraskeel-server-load"
COLD_MS = b"x-sassafraskeel-cold-ms"
# The requests per second that a replica takes from all hosts together.
REQUEST_LIMIT = b"server-limit"
# 1 while the replica leaves.
LEAVING = b"server-leaving"
# The rejections in a second, for want of room, that a brittle replica survives.
BRITTLE = b"server-brittle"
LAST_EVENT_ID = b"last-event-id"
# The request id of the attempt that brought the first event of a resumed stream.
RESUMES = b"resumes"
RETRY_AFTER = b"retry-after"
# How often the store was restored from a copy; it is in all answers of the store.
STORE_ERA = b"store-era"

# Headers of requests to replicas that only the gateway may set; those of a caller
# are removed.
GATEWAY_HEADERS = frozenset(
    (
        REMAINING_MS,
        EXPECTED_REPLICA,
        b"x-sassafraskeel-expect-version",
        PRIORITY,
        b"x-sassafraskeel-pin-ms",
        b"x-sassafraskeel-hold",
        b"x-sassafraskeel-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)

READY_PATH = "/api/ready"
DIRECTORY_PATH = "/api/resolve"

MANIFEST_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
REPLICA_PREFIX = "servers/"
# Hosts of the gateway register themselves under this prefix; the platform does not
# read it.
HOST_PREFIX = "hosts/"
# Each host publishes the crashes of replicas that it saw under its name.
CRASH_PREFIX = "crashes/"
# Hosts record the software versions of each service's streams here.
VERSIONS_KEY = "versions"
