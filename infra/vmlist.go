package infra

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
)

// errNoVMList reports a response without a list of VMs.
var errNoVMList = errors.New("infra: the response has no list of VMs")

// vmListDecoder decodes a VMListResponse without the entries that cannot be used: one entry of another writer must not hide the others.
// It implements sling.ResponseDecoder.
type vmListDecoder struct{}

// Decode decodes the body of the response into v if that is a VMListResponse, else as JSON.
func (vmListDecoder) Decode(response *http.Response, v any) error {
	list, isList := v.(*VMListResponse)
	if !isList {
		return json.NewDecoder(response.Body).Decode(v)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	entries, err := listEntries(text, "vms")
	if err != nil {
		return err
	}
	list.VMs = make([]VM, 0, len(entries))
	for _, entry := range entries {
		var vm VM
		if json.Unmarshal(entry, &vm) == nil && vm.usable() {
			list.VMs = append(list.VMs, vm)
		}
	}
	return nil
}

// usable reports whether the VM is in a known state and its address, if it has one, is a host and a port; port 0 stands for one that is
// not known.
func (vm *VM) usable() bool {
	if vm.State != VMLive && vm.State != VMLeaving {
		return false
	}
	if vm.Address == "" {
		return true
	}
	host, port, err := net.SplitHostPort(vm.Address)
	_, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != ""
}

// listEntries returns the encoded elements of the array with that name in a JSON object. It reads token by token: json.Unmarshal
// rejects the whole object if one element is nested too deeply or has a number that is too large.
func listEntries(text []byte, name string) ([][]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := expectDelim(decoder, '{'); err != nil {
		return nil, err
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		if key == name {
			return arrayElements(decoder, text)
		}
		if err := skipValue(decoder); err != nil {
			return nil, err
		}
	}
	return nil, errNoVMList
}

// arrayElements returns the encoded elements of the array that follows.
func arrayElements(decoder *json.Decoder, text []byte) ([][]byte, error) {
	if err := expectDelim(decoder, '['); err != nil {
		return nil, err
	}
	var elements [][]byte
	for decoder.More() {
		start := decoder.InputOffset()
		if err := skipValue(decoder); err != nil {
			return nil, err
		}
		elements = append(elements, bytes.TrimLeft(text[start:decoder.InputOffset()], ", \t\r\n"))
	}
	return elements, expectDelim(decoder, ']')
}

// expectDelim reads the next token, which must be the delimiter.
func expectDelim(decoder *json.Decoder, want json.Delim) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	if token != want {
		return errNoVMList
	}
	return nil
}

// skipValue reads the next value.
func skipValue(decoder *json.Decoder) error {
	for depth := 0; ; {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}
