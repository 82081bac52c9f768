package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"sequoiaspread.example/sequoia/parser"
)

// operatorTimeout is longer than the time for which a controller waits for consensus.
const operatorTimeout = 12 * time.Second

// Promotion is an operator's request to enforce a document.
type Promotion struct {
	Version      uint64 `json:"version"`
	Document     string `json:"document"`
	Operator     string `json:"operator"`
	RequestID    string `json:"request-id"`
	WithoutTrial bool   `json:"without-trial"`
}

// PromotionReply holds the HTTP status and the body of the response to a promotion.
type PromotionReply struct {
	Status int
	Body   string
}

// Promote sends a promotion to the controller on a VM.
func (f *Fleet) Promote(ctx context.Context, vm parser.VM, promotion Promotion) (PromotionReply, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	body, err := json.Marshal(promotion)
	if err != nil {
		return PromotionReply{}, wrapError("promote", KindNetwork, err)
	}
	url := "http://" + OperatorAddress(vm).String() + "/v1/promotions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return PromotionReply{}, wrapError("promote", KindNetwork, err)
	}
	request.Header.Set("Authorization", "Bearer "+OperatorKey)
	client := http.Client{Transport: newTransport()}
	response, err := client.Do(request)
	if err != nil {
		return PromotionReply{}, wrapError("promote", KindNetwork, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return PromotionReply{Status: response.StatusCode, Body: string(text)}, wrapError("promote", KindNetwork, err)
}

// Version returns the document version that the gateway or controller of a VM enforces, read from its metrics, or 0 if
// it reports none.
func (f *Fleet) Version(ctx context.Context, program Program, vm parser.VM) (uint64, error) {
	name, address := "gateway_configuration_version ", vm.AdminAddress.AddrPort
	if program == ProgramController {
		name, address = "sequoiaspread_controller_document_version ", controllerAdminAddress(vm)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/metrics", nil)
	if err != nil {
		return 0, wrapError("read version", KindNetwork, err)
	}
	response, err := probeClient.Do(request)
	if err != nil {
		return 0, wrapError("read version", KindNetwork, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, wrapError("read version", KindNetwork, err)
	}
	for line := range bytes.Lines(text) {
		if value, ok := bytes.CutPrefix(line, []byte(name)); ok {
			return uint64(parseNumber(string(bytes.TrimSpace(value)))), nil
		}
	}
	return 0, nil
}
