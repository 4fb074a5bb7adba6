package upstream

import (
	"bytes"
	"encoding/json"
)

// chunkDecoder decodes the chunks of one answer with one json.Decoder, whose
// buffers serve all of them. Only a chunk's text is allocated.
type chunkDecoder struct {
	id     string
	quoted []byte // id as JSON
	data   bytes.Reader
	json   *json.Decoder
	wire   wireChunk
}

// wireChunk is a Chunk whose identifier is not turned into a string.
type wireChunk struct {
	ID            json.RawMessage `json:"id"`
	Position      int             `json:"position"`
	Text          string          `json:"text"`
	Tokens        int             `json:"tokens"`
	WeightVersion int64           `json:"weight_version"`
	FinishReason  string          `json:"finish_reason"`
	PromptTokens  int             `json:"prompt_tokens"`
}

func newChunkDecoder(id string) *chunkDecoder {
	d := &chunkDecoder{id: id}
	d.quoted, _ = json.Marshal(id) // a string always has a JSON form
	d.json = json.NewDecoder(&d.data)
	return d
}

// decode returns the chunk that data holds. What is left of data after the chunk
// fails the next call.
func (d *chunkDecoder) decode(data []byte) (Chunk, error) {
	d.data.Reset(data)
	d.wire = wireChunk{ID: d.wire.ID[:0]}
	if err := d.json.Decode(&d.wire); err != nil {
		return Chunk{}, err
	}
	w := &d.wire
	return Chunk{
		ID: d.identifier(), Position: w.Position, Text: w.Text, Tokens: w.Tokens,
		WeightVersion: w.WeightVersion, FinishReason: w.FinishReason, PromptTokens: w.PromptTokens,
	}, nil
}

func (d *chunkDecoder) identifier() string {
	if bytes.Equal(d.wire.ID, d.quoted) {
		return d.id
	}
	var other string
	_ = json.Unmarshal(d.wire.ID, &other) // what is no string is no identifier of ours
	return other
}
