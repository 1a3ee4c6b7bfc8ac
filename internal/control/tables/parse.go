package tables

import (
	"errors"
	"fmt"

	"github.com/jasminecove/jasminecove/internal/base/yamlfile"
)

// MaxDocumentBytes bounds the size of a tables document.
const MaxDocumentBytes = 1 << 20

// Parse decodes a YAML document and validates it. Unknown and duplicate keys are
// rejected. Every error is an *InvalidError that lists all faults found. A document that
// decodes is returned beside the error, since it may have been accepted by an earlier version.
//
//	doc, err := tables.Parse(data)
//	var invalid *tables.InvalidError
//	if errors.As(err, &invalid) { ... }
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, &InvalidError{Faults: []Fault{{Key: "document", Text: fmt.Sprintf("larger than %d bytes", MaxDocumentBytes)}}}
	}
	doc := &Document{}
	if err := yamlfile.Decode(data, doc); err != nil {
		return nil, &InvalidError{Faults: []Fault{syntaxFault(err)}}
	}
	faults := doc.Validate()
	if len(faults) == 0 {
		return doc, nil
	}
	lines := yamlfile.NewLines(data)
	for i := range faults {
		faults[i].Line = lines.Of(faults[i].Key)
	}
	return doc, &InvalidError{Faults: faults}
}

// Encode writes the document as YAML.
func (d *Document) Encode() ([]byte, error) {
	data, err := yamlfile.Encode(d)
	if err != nil {
		return nil, fmt.Errorf("encode tables: %w", err)
	}
	return data, nil
}

func syntaxFault(err error) Fault {
	f := Fault{Key: "document", Text: err.Error()}
	var syntax *yamlfile.SyntaxError
	if errors.As(err, &syntax) {
		f.Line = syntax.Line
	}
	return f
}
