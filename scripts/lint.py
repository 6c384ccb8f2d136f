#!/usr/bin/env python3
"""Runs clang-tidy on files and caches the files without findings.

Usage: scripts/lint.py BUILD_DIR [CLANG_TIDY_OPTION ...] < list of files

A file is skipped only if an earlier run had no findings with the same contents of the file and its includes, and the
same compile command, options, .clang-tidy and clang-tidy version. The cache is in the user's cache folder. Prints the
findings and exits with 1 if there are any.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import subprocess
import sys


def read_dependencies(build):
    """Returns a map from object path to its source and header files, as recorded by ninja."""
    text = subprocess.run(["ninja", "-C", build, "-t", "deps"], capture_output=True, text=True, check=True).stdout
    found, current = {}, None
    for line in text.splitlines():
        if line.startswith(" "):
            found[current].append(os.path.join(build, line.strip()))
        elif ":" in line:
            current = line.split(":")[0]
            found[current] = []
    return found


class Linter:
    def __init__(self, build, options):
        self.build = build
        self.options = options
        self.hashes = {}
        self.dependencies = read_dependencies(build)
        commands = json.loads(pathlib.Path(build, "compile_commands.json").read_text())
        self.commands = {os.path.realpath(it["file"]): it for it in commands}
        version = subprocess.run(["clang-tidy", "--version"], capture_output=True, text=True, check=True).stdout
        self.base = version + pathlib.Path(".clang-tidy").read_text() + " ".join(options)
        root = os.environ.get("XDG_CACHE_HOME") or os.path.join(os.path.expanduser("~"), ".cache")
        self.cache = pathlib.Path(root, "berylcrank-lint")
        self.cache.mkdir(parents=True, exist_ok=True)

    def content_hash(self, path):
        path = os.path.realpath(path)
        if path not in self.hashes:
            self.hashes[path] = hashlib.sha256(pathlib.Path(path).read_bytes()).hexdigest()
        return self.hashes[path]

    def key(self, file):
        """Returns the name of the cache entry of a file, or None if its dependencies are unknown."""
        command = self.commands.get(os.path.realpath(file))
        if command is None:
            return None
        words = command["command"].split()
        made_of = self.dependencies.get(words[words.index("-o") + 1])
        if not made_of:
            return None
        # Does not contain the checkout folder, so that all clones share the cache.
        parts = [self.base, command["command"].replace(os.getcwd(), "."), self.content_hash(file)]
        try:
            parts += [self.content_hash(it) for it in sorted(made_of)]
        except OSError:
            return None
        return hashlib.sha256("\n".join(parts).encode()).hexdigest()

    def check(self, file):
        """Returns the findings of a file; empty if there are none."""
        key = self.key(file)
        if key and (self.cache / key).exists():
            return ""
        run = subprocess.run(["clang-tidy", "-p", self.build, "--quiet", *self.options, file], capture_output=True,
                             text=True)
        if run.returncode == 0:
            if key:
                (self.cache / key).touch()
            return ""
        return run.stdout + run.stderr


def main():
    files = sys.stdin.read().split()
    linter = Linter(sys.argv[1], sys.argv[2:])
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        findings = [it for it in pool.map(linter.check, files) if it]
    for it in findings:
        lines = [line for line in it.splitlines() if "error" in line or "warning" in line]
        print("\n".join(lines[:20]))
    return 1 if findings else 0


sys.exit(main())
