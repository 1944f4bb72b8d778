#!/usr/bin/env python3
"""Writes the resources, settings and instance lists of the bundled deployments.

Usage: deployments/generate.py
The parameters come from section 1.2 of docs/design.md. docs/operating.md explains
the caps and the declared rates.
"""
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent

DEPLOYMENTS = {
    "cantaloma": {
        "regions": ["amba", "cuyo", "litoral"],
        "declared_rate": 300,
        "max_moved_percent": 20,
        "link_mbit_per_s": 4000,
        "policy": "latency",
        "connections": 330,
        "instances": 10,
        "first_port": 21000,
        "client_prefix": "10.21",
        # Service name: (class, deadline in ms, number of backend servers, slots
        # per backend server)
        "services": {
            "disponible": ("interactive", 2000, 16, 5),
            "reservas": ("transactional", 5000, 12, 3),
            "cancionero": ("bulk", 30000, 12, 3),
            "boliches": ("interactive", 2000, 12, 3),
        },
    },
    "altyn-bine": {
        "regions": ["almaty", "astana", "shymkent"],
        "declared_rate": 240,
        "max_moved_percent": 10,
        "link_mbit_per_s": 300,
        "policy": "headroom",
        "connections": 390,
        "instances": 11,
        "first_port": 23000,
        "client_prefix": "10.23",
        "services": {
            "catalogue": ("interactive", 2000, 16, 5),
            "orders": ("transactional", 5000, 12, 4),
            "patterns": ("bulk", 30000, 12, 3),
            "stock": ("interactive", 2000, 12, 3),
        },
    },
}

# Port offsets from the first port of a deployment.
STORE_PORT_OFFSET = 0
CALLER_PORT_OFFSET = 100
OPERATOR_PORT_OFFSET = 200
PEER_PORT_OFFSET = 300
BACKEND_PORT_OFFSET = 400

SETTINGS_TEMPLATE = """\
[instance]
name = {name}
zone = {zone}
region = {region}
address = 127.0.0.1

[callers]
port = {callers}
threads = 64

[operators]
port = {operators}
token = change-this-operators-token

[peers]
port = {peers}
token = change-this-peers-token

[store]
kind = http
address = 127.0.0.1
port = {store}

[charts]
directory = charts
"""


def zones_with_regions(deployment):
    return [(f"{r}-{z}", r) for r in deployment["regions"] for z in "ab"]


def make_resources(tenant, deployment):
    zones = zones_with_regions(deployment)
    regions = deployment["regions"]

    def make_resource(kind, name, **spec):
        return {"kind": kind, "name": name, "spec": spec}

    items = []
    for region in regions:
        items.append(make_resource("Region", region, declaredRate=deployment["declared_rate"]))
    for zone, region in zones:
        items.append(make_resource("Zone", zone, region=region))
    for name, (kind, deadline, _, _) in deployment["services"].items():
        items.append(
            make_resource("Service", name, tenant=tenant, policy=deployment["policy"],
                          deadlineMs=deadline, **{"class": kind}))
    for i, a in enumerate(regions):
        for b in regions[i + 1:]:
            items.append(make_resource("Link", f"{a}-{b}", a=a, b=b,
                                       mbitPerS=deployment["link_mbit_per_s"]))
    for region in regions:
        items.append(make_resource("Cap", region, region=region, windowMs=60000,
                                   maxMovedPercent=deployment["max_moved_percent"]))
    port = deployment["first_port"] + BACKEND_PORT_OFFSET
    for service, (_, _, count, slots) in deployment["services"].items():
        for i in range(count):
            port += 1
            items.append(
                make_resource("BackendServer", f"{service}-{i + 1:02}", service=service,
                              zone=zones[i % len(zones)][0], address="127.0.0.1", port=port,
                              slots=slots, connections=deployment["connections"]))
    blocks = {zone: [f"{deployment['client_prefix']}.{i * 16}.0/20"]
              for i, (zone, _) in enumerate(zones)}
    items.append(make_resource("ClientBlocks", "clients", blocks=blocks))
    return items


def write_deployment(name, deployment):
    folder = ROOT / name
    (folder / "settings").mkdir(parents=True, exist_ok=True)
    lines = ",\n".join("  " + json.dumps(item) for item in make_resources(name, deployment))
    (folder / "resources.json").write_text(f"[\n{lines}\n]\n")
    zones = zones_with_regions(deployment)
    first_port = deployment["first_port"]
    instances = []
    for i in range(deployment["instances"]):
        zone, region = zones[i % len(zones)]
        instance = f"{zone}-{i // len(zones) + 1}"
        (folder / "settings" / f"{instance}.ini").write_text(SETTINGS_TEMPLATE.format(
            name=instance, zone=zone, region=region, store=first_port + STORE_PORT_OFFSET,
            callers=first_port + CALLER_PORT_OFFSET + i + 1,
            operators=first_port + OPERATOR_PORT_OFFSET + i + 1,
            peers=first_port + PEER_PORT_OFFSET + i + 1))
        instances.append({"name": instance, "zone": zone, "region": region,
                          "address": "127.0.0.1",
                          "callerPort": first_port + CALLER_PORT_OFFSET + i + 1,
                          "peerPort": first_port + PEER_PORT_OFFSET + i + 1, "leaving": False})
    lines = ",\n".join("  " + json.dumps(item) for item in instances)
    (folder / "settings" / "instances.json").write_text(
        f'{{"backendServers": [], "instances": [\n{lines}\n]}}\n')


for deployment_name, parameters in DEPLOYMENTS.items():
    write_deployment(deployment_name, parameters)
