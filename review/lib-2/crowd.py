"""Clients of an abuse: each opens a channel, sends a small request with a body in chunks and, with
the argument "short", stops just short of its end and stays; when its channel ends it opens another
one. Otherwise it sends the rest, reads the answer, and comes again later. Ends with its standard
input."""
import asyncio
import sys

from rig import read_answer, request_head

# Time between the channels of a client that stops short, and of one that does not, in s.
SHORT_PAUSE_S, WHOLE_PAUSE_S = 0.2, 10
BODY, REST = b"5\r\nhello\r\n5\r\nhel", b"lo\r\n0\r\n\r\n"


async def client(ip, port, name, short):
    while True:
        try:
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(request_head("POST", "/safe/crowd", name, [
                ("Transfer-Encoding", "chunked")]) + BODY + (b"" if short else REST))
            while short and await reader.read(4096):
                pass
            if not short:
                await read_answer(reader)
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(SHORT_PAUSE_S if short else WHOLE_PAUSE_S)


async def main():
    ip, port, name, count, manner = sys.argv[1:]
    tasks = [asyncio.create_task(client(ip, int(port), f"{name}-{k}", manner == "short"))
             for k in range(int(count))]
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for task in tasks:
        task.cancel()


asyncio.run(main())
