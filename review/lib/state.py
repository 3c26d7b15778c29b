"""Stand-in of the state service, by the protocol page. Each controller has a port of its own, so
that one of them can be refused, or be answered late, alone."""

import bisect
import json
import threading
import time
from urllib.parse import parse_qs

from cbor import Raw, encode
from http_ import serve

HISTORY = 10_000
PAGE_BYTES = 512 * 1024
TRANSACTION_BYTES = 64 * 1024


def json_len(value):
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class Bucket:
    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, amount):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class State:
    def __init__(self, rps, write_rps, value_kb, txn_ops):
        self.lock = threading.Condition()
        self.keys, self.leases = {}, {}
        self.order = []  # the keys, sorted
        self.revision, self.last_lease, self.compacted = 0, 0, 0
        self.history, self.revisions = [], []
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.refused = set()
        self.throttled = 0
        # delay(node, method, path, request) -> seconds by which the answer comes late
        self.delay = lambda node, method, path, request: 0.0
        # seen(node, method, path, request, status, answer bytes)
        self.seen = lambda *call: None
        threading.Thread(target=self._expire, daemon=True).start()

    def port(self, node):
        return serve(lambda method, path, body: self._handle(node, method, path, body))

    def preload(self, under, numbers, value):
        """Adds keys as if they had been written one by one, long ago."""
        raw = Raw(value)
        with self.lock:
            for number in numbers:
                self.revision += 1
                self.keys[f"{under}{number:06d}"] = {"value": raw, "stamp": self.revision}
            self.order = sorted(self.keys)
            self.history, self.revisions, self.compacted = [], [], self.revision
            self.lock.notify_all()

    def leader(self):
        with self.lock:
            entry = self.keys.get("lead/now")
            return entry["value"]["label"] if entry else None

    def refuse(self, node, on):
        with self.lock:
            (self.refused.add if on else self.refused.discard)(node)
            self.lock.notify_all()

    def _handle(self, node, method, path, body):
        answer = self._answer(node, method, path, body)
        status, value = answer
        payload = encode(value)
        self.seen(node, method, path, body, status, payload)
        late = self.delay(node, method, path, body)
        if late:
            time.sleep(late)
        return status, payload

    def _answer(self, node, method, path, body):
        path, _, query = path.partition("?")
        query = {name: values[0] for name, values in parse_qs(query).items()}
        with self.lock:
            if node in self.refused:
                return 503, {"error": "trouble"}
            changes = body.get("then", []) if path == "/commit" and isinstance(body, dict) else []
            if not self.requests.take(1) or (changes and not self.writes.take(len(changes))):
                self.throttled += 1
                return 429, {}
            if path == "/commit" and method == "POST" and isinstance(body, dict):
                return self._commit(body.get("when") or [], changes)
            if path == "/holds" and method == "POST":
                self.last_lease += 1
                life = body["lifeMs"] / 1000.0
                self.leases[self.last_lease] = [life, time.monotonic() + life]
                return 200, {"permit": self.last_lease}
            if path.startswith("/holds/"):
                return self._lease(method, path[len("/holds/"):])
            if path == "/store":
                return self._list(query)
            if path.startswith("/store/"):
                entry = self.keys.get(path[len("/store/"):])
                if entry is None:
                    return 404, {"ledgerRev": self.revision}
                return 200, dict(entry, path=path[len("/store/"):])
            if path == "/watch":
                return self._watch(node, query)
        return 400, {"error": "malformed"}

    def _lease(self, method, rest):
        number, _, verb = rest.partition("/")
        lease = self.leases.get(int(number))
        if lease is None:
            return 404, {}
        if method == "DELETE":
            self._end_lease(int(number))
            return 200, {}
        if verb == "renew":
            lease[1] = time.monotonic() + lease[0]
            return 200, {"permit": int(number)}
        return 400, {}

    def _end_lease(self, number):
        self.leases.pop(number, None)
        gone = [key for key, entry in self.keys.items() if entry.get("permit") == number]
        if gone:
            self.revision += 1
            for key in gone:
                self._remove(key)
                self._record(key, None)
            self.lock.notify_all()

    def _expire(self):
        while True:
            time.sleep(0.03)
            with self.lock:
                now = time.monotonic()
                for number in [n for n, lease in self.leases.items() if lease[1] < now]:
                    self._end_lease(number)

    def _record(self, key, value):
        self.history.append((self.revision, key, value))
        self.revisions.append(self.revision)
        if len(self.history) > HISTORY:
            self.compacted = self.history[0][0]
            del self.history[0], self.revisions[0]

    def _commit(self, when, then):
        if (len(then) > self.txn_ops or len(when) > 4 * self.txn_ops
                or json_len({"when": when, "then": then}) > TRANSACTION_BYTES):
            return 400, {"error": "too large"}
        for change in then:
            if "write" in change and json_len(change.get("value")) > self.value_bytes:
                return 400, {"error": "too large"}
            if change.get("permit") is not None and change["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        stamp = lambda key: self.keys[key]["stamp"] if key in self.keys else 0
        failed = [c["path"] for c in when if stamp(c["path"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if then:
            self.revision += 1
            for change in then:
                if "write" in change:
                    entry = {"value": change.get("value"), "stamp": self.revision}
                    if change.get("permit") is not None:
                        entry["permit"] = change["permit"]
                    if change["write"] not in self.keys:
                        bisect.insort(self.order, change["write"])
                    self.keys[change["write"]] = entry
                    self._record(change["write"], entry["value"])
                else:
                    self._remove(change["delete"])
                    self._record(change["delete"], None)
            self.lock.notify_all()
        return 200, {"ledgerRev": self.revision}

    def _remove(self, key):
        if self.keys.pop(key, None) is not None:
            del self.order[bisect.bisect_left(self.order, key)]

    def _list(self, query):
        under, since = query.get("under", ""), query.get("since", "")
        most = min(int(query.get("most", 1000)), 1000)
        pairs, size, more = [], 0, False
        first = max(bisect.bisect_left(self.order, under), bisect.bisect_right(self.order, since))
        for at in range(first, len(self.order)):
            key = self.order[at]
            if not key.startswith(under):
                break
            value = self.keys[key]["value"]
            pair = {"path": key, "value": value, "stamp": self.keys[key]["stamp"]}
            size += len(key) + 60 + (
                2 * len(value.data) if isinstance(value, Raw) else json_len(value))
            if len(pairs) == most or (pairs and size > PAGE_BYTES):
                more = True
                break
            pairs.append(pair)
        return 200, {"pairs": pairs, "more": more, "ledgerRev": self.revision}

    def _watch(self, node, query):
        under, since = query.get("under", ""), int(query.get("since", 0))
        deadline = time.monotonic() + min(int(query.get("waitMs", 0)), 60_000) / 1000.0
        while True:
            if since < self.compacted:
                return 410, {}
            news = []
            if node not in self.refused:
                first = bisect.bisect_right(self.revisions, since)
                for revision, key, value in self.history[first:]:
                    if key.startswith(under):
                        event = ({"delete": key} if value is None
                                 else {"write": key, "value": value})
                        news.append(dict(event, stamp=revision))
            left = deadline - time.monotonic()
            if node in self.refused:
                # An open watch waits as in an outage.
                self.lock.wait(1.0)
                continue
            if news or left <= 0:
                return 200, {"ledgerRev": self.revision, "news": news}
            self.lock.wait(left)
