"""Builds dist/comfreyusher: one file that runs as exactly one process.

PyInstaller collects the program in a folder. Its own one-file mode starts a child
process, which the users' platform forbids, so a small launcher unpacks the folder
and replaces itself by the program.
"""

import hashlib
import pathlib
import shutil
import stat
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
TARGET = ROOT / "dist" / "comfreyusher"
LAUNCHER = ROOT / "extras" / "binary" / "launcher.c"
MAGIC = b"CFYU"
DIRECTORY_SIZE = -1
EXCLUDED_MODULES = (
    "IPython",
    "PIL",
    "cryptography",
    "hypothesis",
    "matplotlib",
    "numpy",
    "tkinter",
)


def collect_program():
    """Run PyInstaller, and return the folder of the program."""
    shutil.rmtree(BUILD, ignore_errors=True)
    entry = BUILD / "entry.py"
    BUILD.mkdir()
    entry.write_text((ROOT / "comfreyusher" / "__main__.py").read_text())
    arguments = [
        "--name=comfreyusher",
        "--onedir",
        "--contents-directory=lib",
        "--noconfirm",
        "--log-level=ERROR",
        f"--distpath={BUILD / 'folder'}",
        f"--workpath={BUILD / 'work'}",
        f"--specpath={BUILD}",
        f"--paths={ROOT}",
        "--collect-submodules=comfreyusher",
        "--copy-metadata=opentelemetry-sdk",
        "--copy-metadata=opentelemetry-api",
        "--collect-submodules=opentelemetry.context",
        "--hidden-import=thrift.protocol.fastbinary",
        *(f"--exclude-module={name}" for name in EXCLUDED_MODULES),
        str(entry),
    ]
    command = [sys.executable, "-m", "PyInstaller", *arguments]
    subprocess.run(command, check=True, cwd=ROOT)
    return BUILD / "folder" / "comfreyusher"


def build_archive(folder):
    """Return the archive of a folder in the format of the launcher, as bytes."""
    parts = []
    for path in sorted(folder.rglob("*")):
        name = path.relative_to(folder)
        mode = stat.S_IMODE(path.stat().st_mode)
        if path.is_dir():
            parts.append(f"{mode:o} {DIRECTORY_SIZE} {name}\n".encode())
        else:
            data = path.read_bytes()
            parts.append(f"{mode:o} {len(data)} {name}\n".encode())
            parts.append(data)
    return b"".join(parts)


def build():
    """Write the binary, and return its path."""
    archive = build_archive(collect_program())
    digest = hashlib.sha256(archive).hexdigest()
    launcher = BUILD / "launcher"
    compiler = ["gcc", "-O2", "-Wall", "-Werror", "-Wno-format-truncation"]
    subprocess.run([*compiler, "-o", launcher, LAUNCHER], check=True)
    trailer = f"{len(archive):016d}{digest}".encode() + MAGIC
    TARGET.parent.mkdir(exist_ok=True)
    TARGET.write_bytes(launcher.read_bytes() + archive + trailer)
    TARGET.chmod(0o755)
    return TARGET


if __name__ == "__main__":
    print(build())
