"""An executor crashes and starts again as another kind, while watches are silent: see claim.txt."""
import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import lab as laboratory

EXECUTORS = 8  # one of them crashes: 0.125; srv_crash: share 0.14
DOWN_S = 1.0  # srv_crash: for_s 4.5
SILENT_S = 1.0  # platform_compact: watches hear nothing for a second
TASK_MS = 4000


def step(count, label):
    return [{"count": count, "cpu": 4000, "mem-mb": 1024, "est-runtime-ms": TASK_MS,
             "requires": label}]


async def hear_nothing(store):
    """Watches hear nothing for a second, then the history is dropped and they are cut."""
    store.watch_blind = True
    await asyncio.sleep(SILENT_S)
    store.watch_blind = False
    store.compact()


async def case(lab):
    lab.routes([("checks", "rota", {})])
    lab.executors = [laboratory.Executor(lab, f"i-{k:02}", "rota", lab.zones[k % 3],
                                         labels=("a" if k < 2 else "b", "r1"))
                     for k in range(EXECUTORS)]
    labels = {}  # (executor, born) -> labels of that lifetime
    wanted = {}  # job -> label
    await lab.start()
    for label in ("a", "a", "b"):
        job, status = await lab.submit("checks", step(8, label), TASK_MS)
        if status != 200:
            raise RuntimeError("a job was not accepted")
        wanted[job] = label
    await asyncio.sleep(1.5)
    executor = lab.executors[0]
    labels[(executor.id, executor.born)] = list(executor.labels)
    if lab.trouble:
        lab.record("trouble", f"{executor.id} crashes for {DOWN_S} s with"
                   f" {len(executor.running)} tasks; it starts again as another kind")
        executor.crash()
        await asyncio.sleep(DOWN_S)
        executor.labels = ["b", "r1"]
        lab.record("trouble", "watches hear nothing for a second")
        silence = asyncio.create_task(hear_nothing(lab.store))
        await executor.start()
        await silence
    await asyncio.sleep(6)
    for each in lab.executors:
        labels[(each.id, each.born)] = list(each.labels)
    for at, event, executor_id, born, task, run in lab.runs:
        label = wanted.get(task.split(".")[0]) if event == "start" else None
        if label is not None and label not in labels[(executor_id, born)]:
            lab.fail(f"ROUTE: task {task}, which requires {label}, was started as run {run} on"
                     f" {executor_id}, whose labels are {','.join(labels[(executor_id, born)])}")


laboratory.run(case, FOLDER)
