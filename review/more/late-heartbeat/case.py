"""A late heartbeat of a dead run makes an agent reset the open flows of the run that lives.

As case 2, but that the second run goes on serving and holds long flows when the heartbeat of the first run
arrives. With TROUBLE=0 that heartbeat is lost on its way.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "lib"))
import world as w

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRY = ("198.18.0.1", 443)
EDGES = {"edge-a-1": "a", "edge-a-2": "a", "edge-b-1": "b", "edge-c-1": "c"}
SIDES = {"side-a-1": ("a", "editor"), "side-a-2": ("a", "editor"), "side-b-1": ("b", "editor"),
         "side-c-1": ("c", "editor")}
CLIENTS = {"client-a": "a", "client-b": "b", "client-c": "c"}
MACHINE = "side-a-1"
LENGTH_S = 18


async def use_flows(world, client, number, until):
    """Keeps one flow open after the other, for 13 requests each, ending at different times."""
    count = number
    while time.monotonic() < until:
        flow = await client.open(ENTRY)
        result = None
        while flow is not None and result not in ("reset", "deadline") and time.monotonic() < until:
            count += 1
            result = await client.request(flow, f"{client.machine}-{number}-{count}")
            await asyncio.sleep(0.3)
            if count % 13 == 0:
                await client.end(flow)
                break


async def play(world):
    await world.start(w.config(1, {ENTRY: "editor"}, ["editor"]))
    for machine in SIDES:
        if machine != MACHINE:
            await w.Host(world, machine, "editor", f"i-{machine}").start()
    await world.until_ready()
    until = time.monotonic() + LENGTH_S
    load = [asyncio.create_task(use_flows(world, client, number, until))
            for client in world.clients.values() for number in range(20)]
    await asyncio.sleep(w.CONTACT_MS / 1000 + 0.5)

    cut = w.HoldingProxy(world, world.address(MACHINE, w.CONTROL))
    await cut.start()
    first = w.Host(world, MACHINE, "editor", "i-first")
    first.control = cut.address
    await first.start()
    await asyncio.sleep(0.5)
    first.crash()
    await asyncio.sleep(0.5)
    cut_ended = time.monotonic()
    world.record.line("the cut is over")
    second = w.Host(world, MACHINE, "editor", "i-second")
    await second.start()

    resets = {}

    def on_reset(flow):
        key = (flow.client.ip, flow.port, *flow.entry)
        host = world.open_host.get(key)
        if host is not second or not host.is_up or key not in host.flows:
            return
        since = time.monotonic() - cut_ended
        world.record.line(f"reset of flow {flow.client.ip}:{flow.port}, open at host {host.id}, which lives and holds "
                          f"it, {since:.1f} s after the cut")
        if since > w.CONTACT_MS / 1000:
            resets[key] = since

    world.on_reset = on_reset
    await asyncio.sleep(5.5)
    if TROUBLE:
        cut.released.set()
    await asyncio.gather(*load)
    if resets:
        world.breach("FLOW", f"{len(resets)} flows open at host {second.id} got a reset that it didn't send")


async def main():
    world = w.World(os.path.dirname(os.path.abspath(__file__)), EDGES, SIDES, CLIENTS)
    try:
        await play(world)
    except Exception as error:
        world.record.line(f"could not run: {error!r}")
        print("could not run:", repr(error))
        return 2
    finally:
        world.finish()
    for rule, text in world.breaches:
        print(f"{rule}: {text}")
    print(world.counts)
    return 1 if world.breaches else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
