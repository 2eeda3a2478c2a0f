"""A process that the system refuses a thread ends at once and says so, so that it is started again."""
import os
import resource
import shutil
import signal
import subprocess

import harness

OTHER_USER = 65533  # without a process; limits of processes do not hold for the superuser
END_S = 3.0


async def case(lab):
    await lab.start_stand_ins()
    lab.start_vms()
    program = lab.temporary / "program"
    shutil.copy(lab.binary, program)
    lab.temporary.chmod(0o755)
    vm = lab.vms[0]
    lab.signal(vm, signal.SIGKILL)
    words = vm["process"].args
    vm["process"].wait()
    user = {"user": OTHER_USER} if os.geteuid() == 0 else {}
    process = subprocess.Popen([program] + words[1:], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
                               preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NPROC, (1, 1)), **user)
    vm["process"] = process  # ended with the others
    try:
        text, _ = process.communicate(timeout=END_S)
    except subprocess.TimeoutExpired:
        lab.fail(f"the process neither serves nor ends within {END_S} s")
        return
    if process.returncode != -signal.SIGABRT:
        lab.fail(f"the exit status is {process.returncode}")
    if "creating thread" not in text or "event=fatal_signal signal=ABRT" not in text.splitlines()[-1]:
        lab.fail(f"the last line is {text.splitlines()[-1:]}")


harness.run(case)
