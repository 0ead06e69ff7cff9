"""A minimal HTTP relay with h11 and curio, as a baseline for the gateway."""

import sys

import curio
import h11

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.http import HttpConnection
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import TcpNetwork, parse_address
from sassafraskeel.core.turns import TurnTimer

MAX_BODY_BYTES = 1 << 20


async def relay_request(
    client_http: HttpConnection, upstream_http: HttpConnection
) -> bool:
    """Relay a request and its answer; return False at the end of the connection."""
    request = await client_http.next_event()
    if type(request) is not h11.Request:
        return False
    body = await client_http.read_body(MAX_BODY_BYTES)
    await upstream_http.send(request, h11.Data(data=body), h11.EndOfMessage())
    response = await upstream_http.next_event()
    pending = [h11.Response(status_code=response.status_code, headers=response.headers)]
    while data := await upstream_http.read_data():
        await client_http.send(*pending, h11.Data(data=data))
        pending = []
    await client_http.send(*pending, h11.EndOfMessage())
    client_http.h11.start_next_cycle()
    upstream_http.h11.start_next_cycle()
    return True


async def main(turns: TurnTimer, listen: str, upstream: str) -> None:
    """Relay each accepted connection over a new connection to an upstream."""
    clock, network = SystemClock(), TcpNetwork(turns=turns)
    listener = await network.listen(parse_address(listen))

    async def serve(stream):
        client_http = HttpConnection(stream, h11.SERVER, clock)
        upstream_stream = await network.connect(parse_address(upstream))
        upstream_http = HttpConnection(upstream_stream, h11.CLIENT, clock)
        try:
            while await relay_request(client_http, upstream_http):
                pass
        except SassafraskeelError:
            pass  # The client closed its connection.
        finally:
            await client_http.close()
            await upstream_http.close()

    while True:
        await curio.spawn(serve, await listener.accept(), daemon=True)


if __name__ == "__main__":
    turns = TurnTimer(SystemClock(), NullLog())
    curio.run(main, turns, *sys.argv[1:], activations=[turns])
