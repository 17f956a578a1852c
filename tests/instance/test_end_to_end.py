"""Jobs from submission to end, with real processes and the stand-ins."""

from __future__ import annotations

import trio

from .site import QUEUE, STEP, open_site

JOB = "00000000000000a1"
OTHER_JOB = "00000000000000a2"


def test_job_is_run_and_shown_as_complete_by_every_process() -> None:
    async def async_test() -> None:
        async with open_site(processes=2) as site:
            first, second = site.processes
            assert (
                await site.async_submit(first, JOB, "work 50", STEP, STEP | {"dependsOn": [0]})
                == 200
            )
            await site.async_wait_state(first, JOB, "complete")
            await site.async_wait_state(second, JOB, "complete")
            assert len(site.starts(JOB)) == 4

    trio.run(async_test)


def test_submission_repeated_at_another_process_remains_one_job() -> None:
    async def async_test() -> None:
        async with open_site(processes=2) as site:
            for process in [*site.processes, *site.processes]:
                assert await site.async_submit(process, JOB, "work 100") == 200
            await site.async_wait_state(site.processes[0], JOB, "complete")
            assert await site.async_submit(site.processes[1], JOB, "work 100") == 200
            assert len(site.starts(JOB)) == 2

    trio.run(async_test)


def test_canceled_job_is_stopped() -> None:
    async def async_test() -> None:
        async with open_site(processes=2) as site:
            first, second = site.processes
            await site.async_submit(first, JOB, "lasts", STEP | {"longRunning": True})
            await site.async_wait(lambda: len(site.starts(JOB)) == 2)
            status, _ = await site.async_call(second, "DELETE", f"/q/{JOB}")
            assert status == 200
            await site.async_wait_state(first, JOB, "canceled")
            await site.async_wait(lambda: not any(worker.runs for worker in site.platform.everyone))

    trio.run(async_test)


def test_job_whose_tasks_always_fail_is_shown_as_failed() -> None:
    async def async_test() -> None:
        async with open_site(processes=1) as site:
            process = site.processes[0]
            await site.async_submit(process, JOB, "fails 10", STEP | {"count": 1})
            await site.async_wait_state(process, JOB, "failed")
            assert len(site.starts(JOB)) == 2

    trio.run(async_test)


def test_unknown_jobs_and_queues_and_invalid_jobs_are_refused() -> None:
    async def async_test() -> None:
        async with open_site(processes=1) as site:
            process = site.processes[0]
            await site.async_wait(lambda: site.owner_of("portal") is process)
            assert (await site.async_call(process, "GET", f"/q/{JOB}"))[0] == 410
            assert (await site.async_call(process, "GET", f"/none/{JOB}"))[0] == 404
            status, problem = await site.async_call(process, "POST", f"/q/{JOB}", {"steps": []})
            assert (status, problem["detail"]) == (400, "a job needs at least one step")
            status, body = await site.async_call(process, "GET", "/q/")
            assert (status, body) == (200, {"pendingJobs": 0})

    trio.run(async_test)


def test_owner_killed_during_a_job_neither_repeats_nor_loses_tasks() -> None:
    """Guards against repeated or lost tasks when the owner's process is killed."""

    async def async_test() -> None:
        async with open_site(processes=2) as site:
            owner, other = await site.async_find_owner("portal")
            await site.async_submit(other, JOB, "work 3000", STEP, STEP | {"dependsOn": [0]})
            await site.async_wait(lambda: len(site.starts(JOB)) == 2)
            site.kill(owner)
            await site.async_wait_state(other, JOB, "complete")
            assert sorted(attempt for _, attempt in site.starts(JOB)) == [1, 1, 1, 1]

    trio.run(async_test)


def test_lost_store_answers_start_no_task_twice() -> None:
    async def async_test() -> None:
        async with open_site(processes=2) as site:
            await site.async_wait(lambda: site.owner_of("portal") is not None)
            site.platform.faults.lose_appends = 3
            assert await site.async_submit(site.processes[0], JOB, "work 50") == 200
            site.platform.faults.lose_appends = 2
            await site.async_wait_state(site.processes[0], JOB, "complete")
            assert len(site.starts(JOB)) == 2

    trio.run(async_test)


def test_start_executed_late_does_not_run_beside_a_later_attempt() -> None:
    """Guards against a second run when a worker executes an unanswered start late."""

    async def async_test() -> None:
        async with open_site(processes=1) as site:
            process = site.processes[0]
            await site.async_wait(lambda: site.owner_of("portal") is process)
            site.platform.faults.late_start_s = 1.5
            site.platform.faults.lose_starts = 1
            await site.async_submit(process, JOB, "work 1500", STEP | {"count": 1})
            await site.async_wait_state(process, JOB, "complete")
            await trio.sleep(0.6)
            ends = [row for worker in site.platform.everyone for row in worker.ended]
            end_counts = [worker.numbers for worker in site.platform.everyone]
            assert len(site.starts(JOB)) == 1
            assert sum(end_counts) == 1 and len(ends) <= 1

    trio.run(async_test)


def test_submission_is_not_accepted_while_the_store_refuses() -> None:
    async def async_test() -> None:
        async with open_site(processes=1) as site:
            process = site.processes[0]
            await site.async_wait(lambda: site.owner_of("portal") is process)
            site.platform.faults.store_refuses = True
            assert await site.async_submit(process, JOB, "work 10") == 503
            site.platform.faults.store_refuses = False
            await site.async_wait_state(process, JOB, "410")
            assert await site.async_submit(process, OTHER_JOB, "work 10") == 200
            await site.async_wait_state(process, OTHER_JOB, "complete")
            assert not site.starts(JOB)

    trio.run(async_test)


def test_wave_maintains_every_machine_and_moves_every_task() -> None:
    async def async_test() -> None:
        async with open_site(processes=2, machines=3) as site:
            process = site.processes[0]
            long_running = STEP | {"longRunning": True, "maxUnavailable": 1}
            await site.async_submit(process, JOB, "lasts", long_running)
            await site.async_wait(lambda: len(site.starts(JOB)) == 2)
            site.platform.demand_wave(1, ["m0", "m1", "m2"], max_down=1)
            await site.async_wait(lambda: site.platform.wave_state(1) == "complete")
            assert sorted(site.platform.maintained) == ["m0", "m1", "m2"]
            await site.async_wait(
                lambda: sum(len(worker.runs) for worker in site.platform.everyone) == 2
            )

    trio.run(async_test)


def test_overloaded_pool_gets_a_machine_from_the_standby_pool() -> None:
    async def async_test() -> None:
        async with open_site(processes=1, machines=2, spares=2) as site:
            process = site.processes[0]
            large_step = STEP | {"count": 40, "cpu": 2000}
            await site.async_submit(process, JOB, "work 800", large_step)
            await site.async_wait(
                lambda: any(
                    machine.pool == "portal"
                    for name, machine in site.platform.machines.items()
                    if name.startswith("s")
                )
            )
            await site.async_wait_state(process, JOB, "complete")
            assert len(site.starts(JOB)) == 40

    trio.run(async_test)


def test_job_of_an_advised_queue_runs_only_where_the_advisor_allows_it() -> None:
    async def async_test() -> None:
        async with open_site(processes=1, machines=3) as site:
            process = site.processes[0]
            site.platform.worker_api.needs_tickets = True
            chosen = site.platform.everyone[1]
            site.platform.allowed.add(chosen.id)
            advised = QUEUE | {"placementAdvisor": {"decisionMs": 5, "validityMs": 3000}}
            site.platform.configure(2, [advised], ["portal", "spare"])
            await site.async_wait(
                lambda: (config := process.directory.state.config) is not None
                and config.version == 2
            )
            await site.async_submit(process, JOB, "work 50")
            await site.async_wait_state(process, JOB, "complete")
            assert len(chosen.started) == 2
            assert len(site.starts(JOB)) == 2

    trio.run(async_test)


def test_lost_listing_delays_the_ends_of_a_worker_by_a_second_at_most() -> None:
    """Guards against capacity that stays reserved until a lost listing call times out."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=1) as site:
            process = site.processes[0]
            site.platform.faults.lose_listings = 1
            start_s = trio.current_time()
            await site.async_submit(process, JOB, "work 100")
            await site.async_wait_state(process, JOB, "complete")
            assert site.platform.faults.lose_listings == 0
            assert trio.current_time() - start_s < 2.2

    trio.run(async_test)
