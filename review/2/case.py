"""Requests that are open on a connection are lost when their client writes its next request slowly."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Client, Coordinator, Director, Member, main, now_us, trouble

ROUNDS = 6
WRITE_S = 2.5  # how long the client takes to write one application, in pieces
PIECES = 50
APPLICATION = b"x" * 40_000
VIDEOS_S = (2.8, 3.4, 4.0)  # how long the cache takes to send each open video: large objects
SLACK_US = 8_000 + 50_000  # after the client's deadline


async def case(record, started):
    cache = await Member(record, "s-1", "standard", "edge-1").open()
    origin = await Member(record, "o-1", "origin", "north-hub").open()

    async def send(command):
        if command.fields["c"] == "tour-video":
            await asyncio.sleep(VIDEOS_S[int(command.fields["k"], 16) % len(VIDEOS_S)])
        await command.answer("ok", b"object " + command.fields["k"].encode(), note="mem")

    cache.serve = send
    coordinator = await Coordinator(record).open()
    coordinator.tell_members([cache.row(), origin.row()], complete=True)
    director = Director(record, coordinator)
    started.append(director)
    await director.start()
    broken = []

    async def load():
        """Another client, which shows the director that the cache is alive."""
        other = await Client(record, "other client").open(director.address)
        number = 0
        while True:
            number += 1
            await (await other.request("page-image", f"{number + (1 << 60):016x}", f"{number + (1 << 48):016x}", 2500))
            await asyncio.sleep(0.1)

    loading = asyncio.create_task(load())

    async def play(number):
        client = await Client(record, f"client {number}").open(director.address)
        checks = []

        async def check(name, rid, future, taken_us, budget_ms):
            outcome, _, _, at_us = await asyncio.wait_for(future, 10)
            record(f"client {number}: {name} {rid} ends after {(at_us - taken_us) / 1e6:.3f} s: {outcome}")
            if outcome not in ("served", "refused", "failed") or at_us > taken_us + budget_ms * 1000 + SLACK_US:
                broken.append(f"{name} {rid}: {outcome}")

        for i in range(len(VIDEOS_S)):
            rid = f"{number:08x}{i:08x}"
            future = await client.request("tour-video", rid, f"{number * len(VIDEOS_S) + i:016x}", 5000)
            record(f"client {number}: sent tour-video {rid} whole")
            checks.append(asyncio.create_task(check("tour-video", rid, future, now_us(), 5000)))
        rid = f"{number:08x}{99:08x}"
        data, future = client.encode("submit-app", rid, f"{number + 4096:016x}", 3000, APPLICATION)
        size = len(data) // (PIECES if trouble() else 1) + 1
        for at in range(0, len(data), size):
            client.writer.write(data[at : at + size])
            record(f"client {number}: wrote bytes {at} to {min(at + size, len(data))} of submit-app {rid}")
            if at + size < len(data):
                await asyncio.sleep(WRITE_S / PIECES)
            if client.ended:
                record(f"client {number}: its connection has ended: {client.ended}")
                break
        else:
            checks.append(asyncio.create_task(check("submit-app", rid, future, now_us(), 3000)))
        await asyncio.gather(*checks)
        client.close()

    for number in range(ROUNDS):
        await play(number)
    loading.cancel()
    return f"{len(broken)} requests taken whole were lost: {broken}" if broken else ""


main(case, __file__)
