//! Reads and writes of the store's objects.

use bytes::Bytes;
use hyper::{Method, StatusCode};

use super::{Client, escape, unexpected};
use crate::table::{Fault, Store};

impl Store for Client {
    async fn put(&self, name: &str, value: Bytes) -> Result<(), Fault> {
        let path = format!("/-/blob-put/{}", escape(name));
        let answer = self.call_object(Method::PUT, path.clone(), value).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(unexpected(&path, answer.status))
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, Fault> {
        let path = format!("/-/blob-get/{}", escape(name));
        let answer = self
            .call_object(Method::GET, path.clone(), Bytes::new())
            .await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(&path, status)),
        }
    }

    async fn delete(&self, name: &str) -> Result<(), Fault> {
        let path = format!("/-/blob-drop/{}", escape(name));
        let answer = self
            .call_object(Method::DELETE, path.clone(), Bytes::new())
            .await?;
        match answer.status {
            status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(()),
            status => Err(unexpected(&path, status)),
        }
    }
}
