#!/usr/bin/env bash
# Installs the pinned development tools into the Go binary directory.
# Usage: scripts/tools.sh lint | generate | rename
set -euo pipefail

golangci_version=2.15.0
buf_version=1.75.0
gopls_version=0.23.0

bin="$(go env GOPATH)/bin"

install_lint() {
  if "$bin/golangci-lint" version 2>/dev/null | grep -q "version v\?${golangci_version//./\\.}"; then
    return
  fi
  GOBIN="$bin" go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v$golangci_version"
}

install_generate() {
  if [ "$("$bin/buf" --version 2>/dev/null)" = "$buf_version" ]; then
    return
  fi
  GOBIN="$bin" go install "github.com/bufbuild/buf/cmd/buf@v$buf_version"
}

install_rename() {
  if "$bin/gopls" version 2>/dev/null | grep -q "v${gopls_version//./\\.}"; then
    return
  fi
  GOBIN="$bin" go install "golang.org/x/tools/gopls@v$gopls_version"
}

case "${1:-}" in
  lint) install_lint ;;
  generate) install_generate ;;
  rename) install_rename ;;
  *)
    echo "usage: scripts/tools.sh lint | generate | rename" >&2
    exit 2
    ;;
esac
