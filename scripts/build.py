"""Builds the zipapp dist/burdockspan from this source tree.

Usage: python3 scripts/build.py

Installs the project and its dependencies into build/ with pip, removes the
compiled extension modules, and packs the rest with the standard zipapp module.
All dependencies work without their extension modules.
"""

from __future__ import annotations

import importlib.util
import pathlib
import shutil
import subprocess
import sys
import venv
import zipapp

_ROOT = pathlib.Path(__file__).resolve().parents[1]
_BUILD = _ROOT / "build"
_TARGET = _BUILD / "zipapp"
_OUTPUT = _ROOT / "dist" / "burdockspan"
_COMPILED = {".so", ".pyd", ".dylib"}
_REMOVED_DIRECTORIES = ("bin", "include", "share")
"""Scripts and headers, which a zipapp cannot use."""

_CHECKED_IMPORTS = (
    "burdockspan.configuration.questionnaire",
    "opentelemetry.exporter.otlp.proto.http.trace_exporter",
    "thrift.protocol.TCompactProtocol",
)
"""Modules that must import without the extension modules of their packages."""


def main() -> None:
    """Builds the zipapp and checks that it runs."""
    # setuptools would include modules of an earlier build that were deleted
    # since.
    shutil.rmtree(_BUILD, ignore_errors=True)
    _BUILD.mkdir()
    _install(_find_python())
    removed = _remove_compiled(_TARGET)
    _OUTPUT.parent.mkdir(exist_ok=True)
    zipapp.create_archive(
        _TARGET,
        _OUTPUT,
        interpreter="/usr/bin/env python3",
        main="burdockspan.__main__:main",
        compressed=True,
    )
    # zipapp makes the file executable for its owner only.
    _OUTPUT.chmod(0o755)
    _check_output()
    size_mb = _OUTPUT.stat().st_size / 1e6
    name = _OUTPUT.relative_to(_ROOT)
    print(f"{name}: {size_mb:.1f} MB, {removed} extension modules left out")


def _find_python() -> str:
    """Returns an interpreter with pip; creates one in build/ if needed."""
    if importlib.util.find_spec("pip"):
        return sys.executable
    venv.create(_BUILD / "venv", with_pip=True)
    return str(_BUILD / "venv" / "bin" / "python")


def _install(python: str) -> None:
    command = [python, "-m", "pip", "install", "--quiet", "--no-compile"]
    command += ["--disable-pip-version-check", "--target", str(_TARGET)]
    subprocess.run([*command, str(_ROOT)], check=True)


def _check_output() -> None:
    # -S disables the site packages of this interpreter.
    python = [sys.executable, "-S"]
    imports = f"import sys; sys.path.insert(0, {str(_OUTPUT)!r})"
    imports += f"; import {', '.join(_CHECKED_IMPORTS)}"
    subprocess.run([*python, "-c", imports], check=True)
    subprocess.run([*python, str(_OUTPUT), "version"], check=True)


def _remove_compiled(directory: pathlib.Path) -> int:
    for name in _REMOVED_DIRECTORIES:
        shutil.rmtree(directory / name, ignore_errors=True)
    compiled = [p for p in directory.rglob("*") if p.suffix in _COMPILED]
    for path in compiled:
        path.unlink()
    return len(compiled)


if __name__ == "__main__":
    main()
