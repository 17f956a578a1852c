"""The sessions with a partition's workers: one for each worker's current incarnation."""

from __future__ import annotations

import trio

from .events import AcknowledgeEnds, Effect
from .items import ItemFailedError, blame_worker
from .ports import OwnerPort
from .session import WorkerSession


class WorkerSessions:
    """Opens and closes sessions as workers come and go, and passes orders to them."""

    def __init__(self, *, owner: OwnerPort) -> None:
        self.owner = owner
        self.by_worker: dict[str, WorkerSession] = {}
        self.pending_orders: dict[str, list[Effect]] = {}
        """Orders for workers without a session yet, such as stops decided in recovery."""
        self.nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Let sessions be opened in a nursery from now on."""
        self.nursery = nursery

    def stop_opening(self) -> None:
        """Open no more sessions, since the nursery has closed."""
        self.nursery = None

    def close(self) -> None:
        """End all sessions; running tasks are not affected."""
        for session in self.by_worker.values():
            session.close()

    def update(self) -> None:
        """Open a session with each worker's incarnation, and close those with earlier ones."""
        if self.nursery is None:
            return
        workers = self.owner.state.workers
        for worker in workers.values():
            known = self.by_worker.get(worker.id)
            if known is not None and known.worker is not worker:
                self.by_worker.pop(worker.id).close()
            if worker.id not in self.by_worker and worker.entry.address:
                try:
                    with blame_worker(worker.id):
                        session = WorkerSession(owner=self.owner, worker=worker)
                except ItemFailedError as err:
                    self.owner.set_aside(err)
                    return
                self.by_worker[worker.id] = session
                for effect in self.pending_orders.pop(worker.id, []):
                    session.queue_order(effect)
                self.nursery.start_soon(session.async_run)
        for worker_id in self.by_worker.keys() - workers.keys():
            self.by_worker.pop(worker_id).close()
        for worker_id in self.pending_orders.keys() - workers.keys():
            del self.pending_orders[worker_id]

    def send_order(self, worker_id: str, effect: Effect) -> None:
        """Queue an order for a worker, also if its session isn't open yet."""
        session = self.by_worker.get(worker_id)
        if session is not None:
            session.queue_order(effect)
        else:
            self.pending_orders.setdefault(worker_id, []).append(effect)

    def acknowledge(self, effect: AcknowledgeEnds) -> None:
        """Let an incarnation's session acknowledge the ends that are stored by now."""
        worker = effect.worker
        session = self.by_worker.get(worker.id)
        if session is not None and session.worker is worker:
            worker.last_stored_end = max(worker.last_stored_end, effect.number)
            session.notify_stored()
