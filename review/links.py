"""Links of a limited bandwidth between the nodes. Each node binds one address
and advertises another one (setting advertise), which a proxy binds. Datagrams
pass unchanged; what a node fetches from a peer by TCP passes at the bandwidth of
a machine's link, each connection as if it had the link for itself."""

import asyncio

CHUNK = 4096


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, links, node, port):
        self.links = links
        self.node = node
        self.port = port

    def datagram_received(self, raw, address):
        sender = self.links.by_ip.get(address[0])
        if sender is not None:
            back = self.links.sockets[sender, self.port]
            back.sendto(raw, (self.node.addresses.ip, self.port))


class Links:
    def __init__(self, nodes, mbps):
        self.bytes_per_s = mbps * 1e6 / 8
        self.nodes = nodes
        self.by_ip = {node.addresses.ip: node for node in nodes}
        self.sockets = {}
        self._servers = []

    async def start(self):
        loop = asyncio.get_running_loop()
        for node in self.nodes:
            ports = (node.addresses.packets[1], node.addresses.internal_port)
            for port in ports:
                self.sockets[node, port], _ = await loop.create_datagram_endpoint(
                    lambda node=node, port=port: _Datagrams(self, node, port),
                    local_addr=(node.advertised_ip, port),
                )
            self._servers.append(
                await asyncio.start_server(
                    lambda reader, writer, node=node: self._connect(node, reader, writer),
                    node.advertised_ip,
                    node.addresses.internal_port,
                )
            )

    def close(self):
        for transport in self.sockets.values():
            transport.close()
        for server in self._servers:
            server.close()

    async def _connect(self, node, reader, writer):
        address = (node.addresses.ip, node.addresses.internal_port)
        try:
            peer_reader, peer_writer = await asyncio.open_connection(*address)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, peer_writer, None),
            self._copy(peer_reader, writer, self.bytes_per_s),
        )

    @staticmethod
    async def _copy(reader, writer, bytes_per_s):
        loop = asyncio.get_running_loop()
        free_at = loop.time()
        try:
            while data := await reader.read(CHUNK):
                if bytes_per_s:
                    free_at = max(free_at, loop.time()) + len(data) / bytes_per_s
                    await asyncio.sleep(free_at - loop.time())
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
