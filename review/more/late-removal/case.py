"""A removal that the store carries out late takes away the announcement of a living agent.

1. A host crashes. The agent beside it is stopped (planned work) and removes its announcement. The store's
   answer is lost, and the removal is carried out 5 s later, when its condition still holds.
2. The agent starts again and finds its announcement in place. The host starts again and takes flows.
3. The removal is carried out. Nobody announces the agent again.
4. A balancer is added (planned work) that is cut off from the other balancers. It reads the list of members.
5. After contactMs another balancer is restarted (planned work), and the routers give the new one its flows.

The new balancer must not reset open flows of the living host: every machine is in touch, and the store has
long been stable. With TROUBLE=0 the removal is carried out and answered at once, and all else is the same.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "lib"))
import world as w

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRY = ("198.18.0.1", 443)
ADDED = "edge-a-3"
EDGES = {"edge-a-1": "a", "edge-a-2": "a", ADDED: "a", "edge-b-1": "b", "edge-c-1": "c"}
SIDES = {"side-a-1": ("a", "editor"), "side-a-2": ("a", "editor"), "side-b-1": ("b", "editor"),
         "side-c-1": ("c", "editor")}
CLIENTS = {"client-a": "a"}
MACHINE = "side-a-1"
KEY = ("rosemaryusher-members", MACHINE)
LATE_S = 5
FLOWS = 40


async def use_flows(world, client, number, stop):
    """Keeps one flow open after the other, for some 20 requests each."""
    count = 0
    while not stop.is_set():
        flow = await client.open(ENTRY)
        result = None
        for _ in range(20):
            if flow is None or result in ("reset", "deadline"):
                break
            count += 1
            result = await client.request(flow, f"{client.machine}-{number}-{count}", deadline_s=1.0)
            await asyncio.sleep(0.25)
        if flow is not None and result not in ("reset", "deadline"):
            await client.end(flow)


async def play(world):
    await world.start(w.config(1, {ENTRY: "editor"}, ["editor"]))
    hosts = {machine: w.Host(world, machine, "editor", f"i-{machine}") for machine in SIDES}
    for host in hosts.values():
        host.work_s = 0.01
        await host.start()
    await world.until_ready()

    stop = asyncio.Event()
    client = world.clients["client-a"]
    flows = [asyncio.create_task(use_flows(world, client, number, stop)) for number in range(FLOWS)]
    host_started = {host.id: time.monotonic() for host in hosts.values()}
    store_disturbed = [time.monotonic()]
    resets = {}

    def on_reset(flow):
        key = (flow.client.ip, flow.port, *flow.entry)
        host = world.open_host.get(key)
        if host is None or not host.is_up or key not in host.flows:
            return
        now = time.monotonic()
        calm = {"balancer": now - world.started[flow.via], "agent": now - world.started[host.machine],
                "host": now - host_started[host.id], "store": now - store_disturbed[-1]}
        in_touch = min(calm.values()) > w.CONTACT_MS / 1000
        text = (f"reset of flow {flow.client.ip}:{flow.port} through {flow.via}, open for "
                f"{now - flow.opened_at:.1f} s at host {host.id}, which lives and holds it")
        world.record.line(f"{text}; in touch: {in_touch}; undisturbed for (s): "
                          + ", ".join(f"{name} {since:.1f}" for name, since in calm.items()))
        if in_touch:
            resets.setdefault(flow.port, text)

    world.on_reset = on_reset
    await asyncio.sleep(w.CONTACT_MS / 1000)

    # 1. The host crashes, and the agent beside it is stopped and started.
    def trouble(machine, method, target):
        if method == "DELETE" and target.startswith("/objects/%s/%s" % KEY):
            world.record.line(f"store: {method} {target}")
            store_disturbed.append(time.monotonic() + (LATE_S if TROUBLE else 0))
            return ("late", LATE_S) if TROUBLE else None
        return None

    world.store.trouble = trouble
    hosts[MACHINE].crash()
    await asyncio.sleep(1)
    await world.restart(MACHINE)
    # 2. The host starts again.
    await asyncio.sleep(1)
    again = w.Host(world, MACHINE, "editor", "i-again")
    again.work_s = 0.01
    await again.start()
    host_started[again.id] = time.monotonic()
    # 3. The removal is carried out.
    await asyncio.sleep(LATE_S)
    world.record.line(f"{MACHINE} is {'' if KEY in world.store.objects else 'not '}announced now")
    # 4. A balancer is added, and cut off from the other balancers.
    edges = set(EDGES)
    world.is_cut = lambda source, target: ADDED in (source, target) and source in edges and target in edges
    world.record.line(f"{ADDED} is cut off from the other balancers")
    calls = dict(world.link_calls)
    world.add(ADDED)
    await asyncio.sleep(w.CONTACT_MS / 1000 + 2.5)
    # 5. Another balancer is restarted.
    await world.restart("edge-a-2")
    await asyncio.sleep(1)
    calls = {m: world.link_calls.get(m, 0) - calls.get(m, 0) for m in edges}
    world.record.line(f"connections to balancers while the cut lasted: {calls}")
    stop.set()
    await asyncio.gather(*flows)
    if resets:
        world.breach("FLOW", f"{len(resets)} open flows of living hosts got a reset that their hosts didn't send, "
                     f"all machines in touch and under planned work; the first: {next(iter(resets.values()))}")


async def main():
    world = w.World(os.path.dirname(os.path.abspath(__file__)), EDGES, SIDES, CLIENTS, spare=[ADDED],
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
