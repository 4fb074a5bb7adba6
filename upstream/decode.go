package upstream

import (
	"bytes"
	"encoding/json"
)

// chunkDecoder decodes the chunks of one response. It reuses one json.Decoder and
// its buffers for all chunks, so that only the text of a chunk is allocated.
type chunkDecoder struct {
	id     string
	idJSON []byte // id as JSON
	input  bytes.Reader
	json   *json.Decoder
	wire   wireChunk
}

// wireChunk is the JSON form of a Chunk. It keeps the request ID as raw JSON, which
// avoids allocating a string for each chunk.
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
	d.idJSON, _ = json.Marshal(id) // encoding a string cannot fail
	d.json = json.NewDecoder(&d.input)
	return d
}

// decode returns the chunk encoded in data. If data continues after the chunk, the
// next call returns an error.
func (d *chunkDecoder) decode(data []byte) (Chunk, error) {
	d.input.Reset(data)
	d.wire = wireChunk{ID: d.wire.ID[:0]}
	if err := d.json.Decode(&d.wire); err != nil {
		return Chunk{}, err
	}
	chunk := &d.wire
	return Chunk{
		ID: d.requestID(), Position: chunk.Position, Text: chunk.Text, Tokens: chunk.Tokens,
		WeightVersion: chunk.WeightVersion, FinishReason: chunk.FinishReason, PromptTokens: chunk.PromptTokens,
	}, nil
}

// requestID returns the request ID of the decoded chunk without allocating if it
// is the expected one.
func (d *chunkDecoder) requestID() string {
	if bytes.Equal(d.wire.ID, d.idJSON) {
		return d.id
	}
	var other string
	_ = json.Unmarshal(d.wire.ID, &other) // an ID that is not a string stays empty and matches no request
	return other
}
