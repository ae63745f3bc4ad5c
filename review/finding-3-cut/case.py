"""A daemon is stopped in order while consumers fetch large answers over its slow link: are all of them delivered?"""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
import bed as b  # noqa: E402

HOST = "plan.example"
ANSWER_BYTES = 540000  # the largest of saalplan at the site
LIMIT_MS = 6000  # of saalplan, and its route's timeout
CONSUMERS = 9
SEND_AFTER_S = 1.0
GRACE_S = 6
STABLE_WINDOW_S = 3


async def fetch(bed, vm, number, pause, results):
    await asyncio.sleep(pause)
    request_id = f"d{number}"
    reader, writer = await asyncio.open_connection(vm.ip, vm.ports["outbound"], limit=1 << 20)
    sent = time.monotonic()
    bed.record.write(f"sent {request_id} to {vm.name}")
    writer.write(b.request_bytes("GET", f"/plans/{number}", HOST, request_id, LIMIT_MS))
    answer = b.Answer()
    try:
        await asyncio.wait_for(b.read_answer(reader, answer), LIMIT_MS / 1000)
    except asyncio.TimeoutError:
        answer.end = f"time limit after {len(answer.body)} bytes"
    writer.transport.abort()
    results.append((request_id, sent, time.monotonic(), answer))
    bed.record.write(f"answer {request_id} after {time.monotonic() - sent:.2f} s: {answer.status} {answer.end}")


async def case(bed, trouble):
    for number, zone in enumerate(("hallgrund-a", "hallgrund-b", "hallgrund-c"), 1):
        vm = bed.add_vm(f"sidecar-{zone}-{number}", "buehnenplan", zone)
        vm.limits = dict(vm.limits, **{"link-mbps": 8.4, "memory-mb": 160, "cpu-share": 0.1})
        server = b.Server(bed, vm, f"i-{vm.name}", slots=10)
        server.work_s = lambda target, fields: 0.18
        server.body_of = lambda target, fields, body: b"p" * ANSWER_BYTES
        bed.servers.append(server)
    bed.configure(1, [{"name": "plan", "host": HOST, "path-prefix": "/plans/", "kind": "download", "timeout-ms": 6000,
                       "goal-ms": 800, "priority": 1, "service": "buehnenplan", "max-attempts": 2}], ["buehnenplan"])
    await bed.start()
    first = bed.vms[0]
    warm = []
    for number in range(3):
        await fetch(bed, first, f"w{number}", 0, warm)
    await asyncio.sleep(STABLE_WINDOW_S)
    results = []
    stopped = time.monotonic()
    if trouble:
        first.signal(signal.SIGTERM)
    await asyncio.gather(*(fetch(bed, first, number, SEND_AFTER_S + 0.02 * number, results)
                           for number in range(CONSUMERS)))
    if trouble:
        await asyncio.sleep(max(0, stopped + GRACE_S - time.monotonic()))
        if first.alive():
            first.signal(signal.SIGKILL)
    ran = {request_id for server in bed.servers for _, request_id, _, _, _ in server.runs}
    for request_id, sent, ended, answer in sorted(results, key=lambda result: result[1]):
        bed.record.say(f"  {request_id} sent {sent - stopped:.2f} s, ended {ended - stopped:.2f} s after the signal: "
                       f"{answer.status} {answer.end}")
    cut = [request_id for request_id, sent, ended, answer in results
           if not answer.whole and request_id in ran and ended - sent < LIMIT_MS / 1000 - 0.1
           and ended < stopped + GRACE_S + 1]
    bed.record.say(f"{len(results)} requests, {len(ran) - len(warm)} run by servers; {len(cut)} ended without a complete "
                   f"answer before their time limit")
    if len(warm) != sum(answer.whole for _, _, _, answer in warm):
        raise b.CannotRun("the machine did not serve before")
    return not cut


b.main(case, pathlib.Path(__file__).resolve().parent)
