#!/usr/bin/env python3
"""Writes the objects that a large deployment has in the object store to files.

scale-objects.py FOLDER ENTRIES ENDPOINTS SERVICES writes FOLDER/announcements,
the announcements of instances that are not running, as keys and values
separated by NUL bytes, and FOLDER/document.json.
"""
import json
import pathlib
import sys

DOMAINS = 5
# Loopback addresses, so that probes stay on this machine.
FIRST_ENTRY, FIRST_AGENT, FIRST_SERVICE = "127.32", "127.48", "127.64"


def address(prefix, number):
    return f"{prefix}.{number // 250}.{number % 250 + 1}:4433"


def record(role, own_address, number, service, slots):
    # Numbers as in InstanceRole (0: entry, 1: agent) and InstanceState (1: ready).
    domain = number % DOMAINS + 1
    return json.dumps({
        "role": role, "address": own_address, "domain": domain,
        "region": 0 if domain <= 3 else 1, "service": service, "slots": slots,
        "state": 1, "version": [1000 + number, 1]}, separators=(",", ":"))


def announcements(entries, endpoints, services):
    for number in range(entries):
        own_address = address(FIRST_ENTRY, number)
        yield f"entries/{own_address}", record(0, own_address, number, 0, 0)
    for number in range(endpoints):
        own_address = address(FIRST_AGENT, number)
        service = number % services + 1
        yield (f"endpoints/{service}/{own_address}",
               record(1, own_address, number, service, 4))


def document(services):
    services = [{
        "id": number + 1, "name": f"service-{number + 1}",
        "address": address(FIRST_SERVICE, number), "class": "interactive",
        "slots": 4, "connections": 2700, "deadlineMs": 5000, "rampSeconds": 20,
        "minEndpoints": 0, "admission": "automatic"}
        for number in range(services)]
    domains = [{
        "id": number + 1, "name": f"domain-{number + 1}", "state": "in",
        "region": "region-1" if number < 3 else "region-2"}
        for number in range(DOMAINS)]
    return {"deployment": "demo", "generation": 0, "submission": "",
            "change": {"by": "", "at": "1970-01-01T00:00:00Z", "from": 0,
                       "changes": []},
            "services": services, "failureDomains": domains, "backends": [],
            "plannedChanges": []}


def main():
    folder = pathlib.Path(sys.argv[1])
    entries, endpoints, services = map(int, sys.argv[2:5])
    fields = [field for pair in announcements(entries, endpoints, services)
              for field in pair]
    (folder / "announcements").write_text("\0".join(fields))
    (folder / "document.json").write_text(json.dumps(document(services), indent=1))


if __name__ == "__main__":
    main()
