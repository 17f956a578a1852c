"""Links to peers: heartbeats, records of the log, and states for joining instances.

Each process binds one ROUTER and connects one DEALER to every selected peer. Requests go out on
the DEALER and are answered on the same connection, so missing answers show that it is broken.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio
import zmq
from prometheus_client import CollectorRegistry

from heatherkeel.core.models import LogRecord
from heatherkeel.core.node import Event, NodeState
from heatherkeel.core.state import FleetState
from heatherkeel.helpers.clock import monotonic_ms

from .connection_guard import ConnectionGuard
from .const import (
    CLEANUP_TICKS,
    CROSS_ZONE_TICKS,
    FETCH_TIMEOUT_S,
    MAX_CONNECTIONS,
    MAX_LOADS,
    RELAY_AFTER_MS,
)
from .events import (
    HeartbeatReceived,
    JoiningInstanceStarted,
    PeerLoad,
    SponsorAnswered,
    StartedFromPeer,
)
from .messages import (
    Heartbeat,
    HeartbeatAck,
    PeerMessage,
    Records,
    RecordsRequest,
    RelayedRecord,
    StatePart,
    StateRequest,
    decode_message,
    encode_message,
)
from .metrics import PeerMetrics
from .peer_link import PeerLink
from .peer_selection import remove_lost_peers, select_peers
from .recent import RecentRecords
from .reducer import find_incarnation
from .sockets import EdgeSocket, Frames
from .sponsor import quiesced_drains
from .transfer import StateFetch, StateProvider

_LOGGER = logging.getLogger(__name__)


class PeerLinks:
    """All links of one entry process."""

    def __init__(
        self,
        *,
        node: NodeState,
        handle_event: Callable[[Event], object],
        apply_relayed_record: Callable[[LogRecord], None],
        log_answered_at_ms: Callable[[], int | None],
        recent: RecentRecords,
        bind: str,
        seeds: list[str],
        max_connections: int = MAX_CONNECTIONS,
        metrics: PeerMetrics | None = None,
    ) -> None:
        self.node = node
        self.handle_event = handle_event
        self.apply_relayed_record = apply_relayed_record
        self.log_answered_at_ms = log_answered_at_ms
        self.seeds = seeds
        self.address = bind
        self.recent = recent
        self.provider = StateProvider(state=lambda: node.fleet)
        self.fetch: StateFetch | None = None
        self.links: dict[str, PeerLink] = {}
        self.ticks = 0
        self.nursery: trio.Nursery | None = None
        self.context: zmq.Context[zmq.Socket[bytes]] = zmq.Context(io_threads=1)
        self.router = EdgeSocket(context=self.context, kind=zmq.ROUTER, handle=self._handle_request)
        metrics = metrics or PeerMetrics(registry=CollectorRegistry())
        self.guard = ConnectionGuard(
            socket=self.router.socket,
            context=self.context,
            limit=max_connections,
            on_count=metrics.connections.set,
            on_closed=metrics.closed.inc,
        )

    def start(self, nursery: trio.Nursery) -> str:
        """Open the port and return its address as `host:port`."""
        self.nursery = nursery
        self.guard.start(nursery)
        self.router.socket.bind(f"tcp://{self.address}")
        endpoint = self.router.socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix("tcp://")
        self.router.start(nursery)
        return self.address

    def close(self) -> None:
        """Close all links; messages in transit are lost."""
        for link in self.links.values():
            link.close()
        self.guard.close()
        self.router.close()
        self.context.destroy(linger=0)

    async def async_tick(self) -> None:
        """Update the links, replace unresponsive connections, and send heartbeats."""
        now_ms = monotonic_ms()
        wanted = select_peers(self.node, seeds=self.seeds, own=self.address, now_ms=now_ms)
        self._update_links(wanted)
        if self.ticks % CLEANUP_TICKS == 0:
            remove_lost_peers(self.node, now_ms)
        is_cross_zone_tick = self.ticks % CROSS_ZONE_TICKS == 0
        self.ticks += 1
        for address, is_own_zone in wanted.items():
            if is_own_zone or is_cross_zone_tick:
                self._send_heartbeat(self.links[address], now_ms)

    async def async_fetch_state(self) -> FleetState | None:
        """Return the state of a peer of the own availability zone; None if no peer provides it."""
        sent_ms = monotonic_ms()
        self._update_links(dict.fromkeys([*self.seeds, *self.links], True))
        for link in list(self.links.values()):
            self.fetch = StateFetch()
            with trio.move_on_after(FETCH_TIMEOUT_S):
                await self._async_fetch_from(link, self.fetch)
            fetch, self.fetch = self.fetch, None
            state = fetch.state() if fetch.is_complete else None
            if state is not None:
                event = StartedFromPeer(
                    now_ms=monotonic_ms(),
                    sponsor=link.incarnation,
                    sent_ms=sent_ms,
                    needed_offset=fetch.needed_offset,
                )
                self.handle_event(event)
                return state
        return None

    async def _async_fetch_from(self, link: PeerLink, fetch: StateFetch) -> None:
        # The answer to a heartbeat holds the sponsor's incarnation, which must be known first.
        while not link.incarnation:
            self._send_heartbeat(link, monotonic_ms())
            await trio.sleep(0.05)
        while not fetch.is_complete:
            request = StateRequest(
                instance=self.node.local.instance,
                incarnation=self.node.local.incarnation,
                zone=self.node.local.zone,
                offset=fetch.offset,
                index=len(fetch.parts),
            )
            link.send(request)
            with trio.move_on_after(FETCH_TIMEOUT_S / 4):
                await fetch.part_added.wait()

    def _update_links(self, wanted: dict[str, bool]) -> None:
        for address in [address for address in self.links if address not in wanted]:
            self.links.pop(address).close()
        for address in wanted:
            if address not in self.links and self.nursery is not None:
                link = PeerLink(
                    context=self.context, address=address, handle_frames=self._handle_answer
                )
                link.open(self.nursery)
                self.links[address] = link

    def _send_heartbeat(self, link: PeerLink, now_ms: int) -> None:
        if link.is_unresponsive(now_ms) and self.nursery is not None:
            self.node.local.peers.replaced += 1
            extra = {"event": "peer_silent", "address": link.address}
            _LOGGER.warning("a peer doesn't answer heartbeats; reconnecting", extra=extra)
            link.close()
            link.open(self.nursery)
        link.send_heartbeat(self._make_heartbeat(link, now_ms), now_ms)

    def _make_heartbeat(self, link: PeerLink, now_ms: int) -> Heartbeat:
        local = self.node.local
        log_answered_ms = self.log_answered_at_ms()
        return Heartbeat(
            instance=local.instance,
            incarnation=local.incarnation,
            zone=local.zone,
            address=self.address,
            number=link.next_number(),
            offset_in_force=self.node.fleet.next_offset - 1,
            log_age_ms=-1 if log_answered_ms is None else now_ms - log_answered_ms,
            loads=self._target_loads(),
            quiet_drains=quiesced_drains(self.node) if local.peers.sponsorship else [],
        )

    def _target_loads(self) -> dict[str, int]:
        targets = self.node.local.routing.targets
        busy = [(view.in_progress, name) for name, view in targets.items() if view.in_progress]
        busy.sort(reverse=True)
        return {name: count for count, name in busy[:MAX_LOADS]}

    def _handle_request(self, frames: Frames) -> None:
        """Handle a request of a peer, and answer it on the same connection."""
        peer, *rest = frames
        answer: PeerMessage | None = None
        match self._decode(rest):
            case Heartbeat() as heartbeat:
                answer = self._handle_heartbeat(heartbeat)
            case RecordsRequest(zone=zone, from_offset=offset) if zone == self.node.local.zone:
                answer = Records(records=self.recent.since(offset))
            case StateRequest(zone=zone) as request if zone == self.node.local.zone:
                answer = self._provide_state(request)
            case _:
                pass
        if answer is not None:
            self.router.send([peer, encode_message(answer)])

    def _decode(self, frames: Frames) -> PeerMessage | None:
        """Decode one message; anything that doesn't decode is dropped and counted."""
        message = decode_message(frames[0]) if len(frames) == 1 else None
        if message is None:
            self.node.local.peers.undecodable += 1
        return message

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatAck:
        now_ms = monotonic_ms()
        local = self.node.local
        self.handle_event(HeartbeatReceived(now_ms=now_ms, heartbeat=heartbeat))
        load = PeerLoad(
            now_ms=now_ms,
            instance=heartbeat.instance,
            zone=heartbeat.zone,
            loads=heartbeat.loads,
        )
        self.handle_event(load)
        self._request_missing_records(heartbeat, now_ms)
        return HeartbeatAck(
            instance=local.instance,
            incarnation=local.incarnation,
            zone=local.zone,
            number=heartbeat.number,
            sponsors=heartbeat.incarnation in local.peers.sponsored,
        )

    def _request_missing_records(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Request records that a peer of the own zone has folded while the log doesn't answer."""
        is_ahead = heartbeat.offset_in_force >= self.node.fleet.next_offset
        log_answered_ms = self.log_answered_at_ms()
        is_late = log_answered_ms is None or now_ms - log_answered_ms > RELAY_AFTER_MS
        link = self.links.get(heartbeat.address)
        if is_ahead and is_late and link is not None and heartbeat.zone == self.node.local.zone:
            self._request_records(link)

    def _request_records(self, link: PeerLink) -> None:
        offset = self.node.fleet.next_offset
        link.send(RecordsRequest(zone=self.node.local.zone, from_offset=offset))

    def _provide_state(self, request: StateRequest) -> StatePart | None:
        """Return a part of the state, and sponsor the joining instance from its first part on.

        No drain waits for a process that the fold doesn't know, so it can't sponsor another one.
        """
        now_ms = monotonic_ms()
        local = self.node.local
        if find_incarnation(self.node.fleet.membership, local.incarnation) is None:
            return None
        started = JoiningInstanceStarted(
            now_ms=now_ms, instance=request.instance, incarnation=request.incarnation
        )
        if find_incarnation(self.node.fleet.membership, request.incarnation) is None:
            self.handle_event(started)
        return self.provider.answer(request, now_ms)

    def _handle_answer(self, link: PeerLink, frames: Frames) -> None:
        """Handle an answer that was received on the connection to a peer."""
        match self._decode(frames):
            case HeartbeatAck() as ack:
                self._handle_ack(link, ack)
            case Records(records=records):
                self._apply_records(link, records)
            case StatePart() as part if self.fetch is not None:
                self.fetch.add_part(part)
            case _:
                pass

    def _handle_ack(self, link: PeerLink, ack: HeartbeatAck) -> None:
        now_ms = monotonic_ms()
        sent_ms = link.record_ack(ack, now_ms)
        if ack.sponsors and sent_ms is not None:
            event = SponsorAnswered(now_ms=now_ms, sponsor=ack.incarnation, sent_ms=sent_ms)
            self.handle_event(event)

    def _apply_records(self, link: PeerLink, records: list[RelayedRecord]) -> None:
        """Fold the next records in order; they are compared with the log when it answers again."""
        for record in records:
            if record.offset != self.node.fleet.next_offset:
                continue
            self.node.local.peers.relayed += 1
            self.apply_relayed_record(
                LogRecord(offset=record.offset, at_ms=record.at_ms, data=record.data)
            )
        if len(records) > 1:
            self._request_records(link)
