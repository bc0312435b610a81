"""Part of the daemon that keeps the newest services text in force."""

import concurrent.futures
import random
import threading
import zlib

import result

from eelgrassknot.coordination import adoption
from eelgrassknot.coordination import config_store
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import rows
from eelgrassknot.coordination import ticker
from eelgrassknot import ids
from eelgrassknot.kernel import events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import logs

__all__ = ['ConfigPart']

TICK_MS = 500.0
STORE_THREADS = 2
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024


@parts.part('config', after=('peers',))
class ConfigPart(parts.Part):
    """Polls the store, hears from peers, and applies newer texts."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.adoption = adoption.ConfigAdoption(
            random.Random(node.generator.random())
        )
        self.reply = messages.ConfigReply(None, b'')
        self.lock = threading.Lock()
        self.executor = concurrent.futures.ThreadPoolExecutor(
            STORE_THREADS, 'config'
        )
        self.polling = False
        self.ticker = ticker.Ticker('config', TICK_MS, self._tick)

    def start(self) -> None:
        """Begin to look for newer texts."""
        self.link = self.node.part_set.parts['peers'].link
        self.link.on_message(messages.Heartbeat, self._heard)
        self.link.on_query(messages.ConfigFetch, self._answer_fetch)
        self._tick()
        self.ticker.start()

    def stop(self) -> None:
        """Look no more."""
        self.ticker.stop()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def not_ready_reasons(self) -> list[str]:
        """Say why no text can be served by, if so."""
        with self.lock:
            reason = self.adoption.not_ready_reason()
        return [] if reason is None else [reason]

    def status(self) -> dict[str, object]:
        """Return the versions that peers have, and what went wrong."""
        with self.lock:
            return {
                'config_versions_seen': dict(self.adoption.heard),
                'config_newest_known': self.adoption.floor,
                'config_behind': dict(self.adoption.behind()),
                'config_corrupt': self.adoption.corrupt,
                'config_refused': self.adoption.refused,
                'config_store_failed': self.adoption.store_failed,
            }

    def peer_lost(self, vm: ids.VmId) -> None:
        """Take in that a peer is gone."""
        self._tell(adoption.PeerLost(vm))

    def _tick(self) -> None:
        self._tell(adoption.Tick())

    def _heard(self, envelope: messages.Envelope) -> None:
        version = envelope.message.config_version
        if self.adoption.heard.get(envelope.vm) != version:
            self._tell(adoption.VersionHeard(envelope.vm, version))

    def _tell(self, event: adoption.Event) -> None:
        with self.lock:
            actions = self.adoption.handle(event, self.node.clock.now_ms())
            for action in actions:
                # Within the lock, so that texts are applied in order.
                if isinstance(action, adoption.Adopt):
                    self._adopt(action)
        for action in actions:
            self._perform(action)

    def _perform(self, action: adoption.Action) -> None:
        match action:
            case adoption.PollStore():
                if not self.polling:
                    self.polling = True
                    ticker.submit(self.executor, self._poll)
            case adoption.FetchFromStore():
                ticker.submit(self.executor, self._fetch)
            case adoption.FetchFromPeer(vm):
                future = self.link.ask(vm, messages.ConfigFetch())
                future.add_done_callback(self._fetched)

    def _poll(self) -> None:
        answer = config_store.read_stamp(self.node.platform.table)
        self.polling = False
        match answer:
            case result.Ok(stamp):
                self._tell(adoption.StampRead(stamp))
            case result.Err(_):
                self._tell(adoption.StoreFailed())

    def _fetch(self) -> None:
        match config_store.read_current(self.node.platform.table):
            case result.Ok(rows.ConfigRecord() as record):
                self._tell(adoption.RecordReceived(record))
            case result.Ok(None):
                self._tell(adoption.FetchFailed())
            case result.Err(_):
                self._tell(adoption.StoreFailed())

    def _fetched(self, future: concurrent.futures.Future) -> None:
        if future.cancelled() or future.result().record is None:
            self._tell(adoption.FetchFailed())
            return
        self._tell(adoption.RecordReceived(unpack(future.result())))

    def _answer_fetch(
        self, vm: ids.VmId, query: messages.ConfigFetch
    ) -> messages.ConfigReply:
        return self.reply

    def _adopt(self, action: adoption.Adopt) -> None:
        version = action.record.version
        self.node.text = action.text
        self.node.text_version = version
        self.reply = pack(action.record)
        self.node.hub.publish(events.ConfigAdopted(version, action.text))
        logs.event(
            'config_adopted', version=version, author=action.record.author
        )


def pack(record: rows.ConfigRecord) -> messages.ConfigReply:
    """Return a text as it is sent to a peer."""
    document = zlib.compress(record.document.encode())
    bare = rows.ConfigRecord(
        record.version,
        '',
        record.author,
        record.change,
        record.digest,
        record.accepted_at_ms,
    )
    return messages.ConfigReply(bare, document)


def unpack(reply: messages.ConfigReply) -> rows.ConfigRecord:
    """Return the text that a peer sent; its digest is not yet checked."""
    inflater = zlib.decompressobj()
    document = inflater.decompress(reply.document, MAX_DOCUMENT_BYTES)
    record = reply.record
    return rows.ConfigRecord(
        record.version,
        document.decode(),
        record.author,
        record.change,
        record.digest,
        record.accepted_at_ms,
    )
