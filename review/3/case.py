"""One lost datagram makes a balancer reset open flows of a host that has just started.

1. A machine with a host is added (planned work). Its agent starts first and says that no host runs there.
2. A balancer is stopped (planned work). The routers send it packets until it has missed two probes.
3. The host starts. Of the agent's reports of that, the one to another balancer of the zone is lost. The host
   gets flows through the balancer that leaves.
4. The routers give the flows of the leaving balancer to the other one.

That balancer must not reset open flows of the living host. It, the agent and the store have run undisturbed
for more than contactMs, and nothing is disturbed but for the planned work. With TROUBLE=0 the datagram isn't
lost, and everything else is the same.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import world as w

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRY = ("198.18.0.1", 443)
LEAVING, STAYING = "edge-a-1", "edge-a-2"
EDGES = {LEAVING: "a", STAYING: "a", "edge-b-1": "b", "edge-c-1": "c"}
NEW = "side-b-2"
SIDES = {"side-a-1": ("a", "editor"), "side-b-1": ("b", "editor"), "side-c-1": ("c", "editor"),
         NEW: ("b", "editor")}
CLIENTS = {"client-a": "a"}
FLOWS = 40


async def use_flows(world, client, number, stop):
    """Keeps one flow open after the other, for a few requests each."""
    count = 0
    while not stop.is_set():
        flow = await client.open(ENTRY)
        result = None
        for _ in range(2):
            if flow is None or result in ("reset", "deadline"):
                break
            count += 1
            result = await client.request(flow, f"{client.machine}-{number}-{count}", deadline_s=1.0)
            await asyncio.sleep(0.1)
        if flow is not None and result not in ("reset", "deadline"):
            await client.end(flow)
        await asyncio.sleep(0.02)


async def play(world):
    await world.start(w.config(1, {ENTRY: "editor"}, ["editor"]))
    for machine in SIDES:
        if machine != NEW:
            host = w.Host(world, machine, "editor", f"i-{machine}")
            host.work_s = 0.05
            await host.start()
    await world.until_ready()

    resets = {}

    def on_reset(flow):
        key = (flow.client.ip, flow.port, *flow.entry)
        host = world.open_host.get(key)
        if host is None or not host.is_up or key not in host.flows:
            return
        now = time.monotonic()
        calm = {"balancer": now - world.started[flow.via], "agent": now - world.started[host.machine]}
        in_touch = flow.via == STAYING and min(calm.values()) > w.CONTACT_MS / 1000
        text = (f"reset of flow {flow.client.ip}:{flow.port} through {flow.via}, open for "
                f"{now - flow.opened_at:.3f} s at host {host.id}, which lives and holds it")
        world.record.line(f"{text}; in touch: {in_touch}; undisturbed for (s): "
                          + ", ".join(f"{name} {since:.1f}" for name, since in calm.items()))
        if in_touch:
            resets.setdefault(flow.port, text)

    world.on_reset = on_reset
    stop = asyncio.Event()
    client = world.clients["client-a"]
    flows = [asyncio.create_task(use_flows(world, client, number, stop)) for number in range(FLOWS)]

    # 1. A machine is added; its host starts some seconds after the agent.
    world.launch(NEW)
    await asyncio.sleep(w.CONTACT_MS / 1000 + 1)
    # 2. A balancer is stopped; its second missed probe comes half a second after the first.
    stopping = asyncio.create_task(world.restart(LEAVING))
    while world.misses[LEAVING] == 0:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.35)
    # 3. The host starts; the next datagram of its agent to the other balancer is lost.
    host = w.Host(world, NEW, "editor", "i-new")
    host.work_s = 0.05
    lost = []

    def is_lost(source, target):
        if (source, target) != (NEW, STAYING) or host.seq == 0 or lost:
            return False
        lost.append(time.monotonic())
        world.record.line(f"a datagram of {NEW} to {STAYING} is lost")
        return True

    if TROUBLE:
        world.is_cut = is_lost
    await host.start()
    # 4. The flows of the leaving balancer move.
    await stopping
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*flows)
    if resets:
        world.breach("FLOW", f"{len(resets)} open flows of a living host got a reset that the host didn't send, all "
                     f"in touch and under planned work; the first: {next(iter(resets.values()))}")


async def main():
    world = w.World(os.path.dirname(os.path.abspath(__file__)), EDGES, SIDES, CLIENTS, spare=[NEW],
                    with_links=True)
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
