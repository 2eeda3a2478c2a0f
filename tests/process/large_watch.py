"""A watch that is answered with more changes than one text may hold is followed by a read in pages, not by the same
watch again."""
import asyncio

import harness

CHANGES = 8000
AWAY_S = 1.5
WATCHED_S = 6.0
ANSWERS_MAX = 4  # of each VM and each of its watchers, with the changes
LARGE_EVENTS = 1000


def refuse_watches(_method, path, _body):
    return (503, {}) if path == "/kv-watch" else None


async def case(lab):
    harness.laboratory.HISTORY_S = 600
    await lab.start()
    lab.store.before = refuse_watches
    await asyncio.sleep(AWAY_S)
    for number in range(CHANGES):
        key = f"servers/{number:016x}"
        lab.store.apply([{"key": key, "value": "e30="}], [])
        lab.store.apply([], [key])
    large = []

    def count(_method, path, _body, answer):
        if path == "/kv-watch" and answer[0] == 200 and len(answer[1]["events"]) > LARGE_EVENTS:
            large.append(path)
        return answer

    lab.store.after = count
    lab.store.before = None
    await asyncio.sleep(WATCHED_S)
    if len(large) > ANSWERS_MAX * len(lab.vms):
        lab.fail(f"{len(large)} large watch answers in {WATCHED_S:.0f} s")
    await lab.check_all_serve()
    lab.check_no_ends()


harness.run(case)
